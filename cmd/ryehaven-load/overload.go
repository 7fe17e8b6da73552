// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/platform/emulator"
	"github.com/ryehaven/ryehaven/settings"
)

// overloadCommand offers an emulated site loads from below to far above the capacity of its
// servers, with overload control disabled and enabled (see settings.Overload).
type overloadCommand struct {
	Loads   []float64     `default:"0.5,0.75,1,1.5,2,3" help:"Offered loads, as shares of the servers' capacity."`
	Depth   int           `default:"1" help:"Levels of calls between services below the callers' requests, from 0 to 3."`
	Servers int           `default:"3" help:"Number of servers of each service."`
	Slots   int           `default:"6" help:"Number of requests that a server executes at a time."`
	Work    time.Duration `default:"60ms" help:"Service time of an order, without its calls; a call takes a quarter of it, a read twice as much."`
	Aim     time.Duration `default:"300ms" help:"Latency objective of orders: an answer within this time is in time; that of reads is twice as long."`
	Length  time.Duration `default:"6s" help:"Length of each run."`
	Warmup  time.Duration `default:"2s" help:"Time at the start of each run whose requests are not counted."`
	Seed    uint64        `default:"1" help:"Seed of the arrivals."`
	Report  string        `help:"File to which an HTML page with a chart of each result is written." type:"path"`
}

// The two kinds of callers' requests. Orders are not repeatable and have the higher
// priority. Reads go to the service at the lowest level, which the orders' calls, if the
// depth is above 0, go to as well.
const (
	orders = iota
	reads
	kinds
)

var kindNames = [kinds]string{"orders", "reads"}

const (
	orderPath = "/order/"
	readPath  = "/read/"
	// callsPerRequest is how many calls an execution at one level makes to the next level.
	callsPerRequest = 2
	// The service time of a call is that of an order divided by callWorkDivisor. The service
	// time and the aim of a read are those of an order times readFactor.
	callWorkDivisor = 4
	readFactor      = 2
	// usedSlotShare is the share of the servers' slots that nodes use.
	usedSlotShare = 0.8
	// timeoutAims is the timeout of callers as a multiple of the aim.
	timeoutAims = 3
	// Callers retry a refused request only if the delay that the refusal asks for is at
	// most the time until their deadline divided by retryDelayDivisor.
	retryDelayDivisor = 3
	// readShare is the least share of the reads in the load of the service that they go to.
	readShare = 0.5
)

func overloadService(level int) string { return fmt.Sprint("level", level) }

func callPath(level int) string { return fmt.Sprintf("/call%d/", level) }

// Run runs every load with overload control disabled and enabled, and prints a row for each.
func (c *overloadCommand) Run() error {
	if c.Depth < 0 || c.Depth > 3 {
		return eris.Errorf("--depth %d: must be from 0 to 3", c.Depth)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "decisions\tload\trequests\tin time a second\torders in time %\treads in time %\tlate %\trefused %\tfailed %\tbegun and not answered %")
	var points []overloadPoint
	for _, enabled := range []bool{false, true} {
		for _, load := range c.Loads {
			p, err := c.runLoad(enabled, load)
			if err != nil {
				return err
			}
			points = append(points, p)
			fmt.Fprintf(w, "%s\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", p.decisions(), load, p.sent(), p.goodput,
				p.kindPercent(orders, resultInAim), p.kindPercent(reads, resultInAim), p.totalPercent(resultLate), p.totalPercent(resultRefused), p.totalPercent(resultFailed), 100*p.wasted)
			if err := w.Flush(); err != nil {
				return eris.Wrap(err, "write table")
			}
		}
	}
	if c.Report == "" {
		return nil
	}
	return c.writeReport(points)
}

// overloadPoint holds the results of one run.
type overloadPoint struct {
	enabled bool
	load    float64
	results [kinds][callResultCount]int
	// goodput is the number of requests answered in time, per second. wasted is the share
	// of the executions started for callers' requests, calls excluded, whose try got no
	// successful answer.
	goodput, wasted float64
}

func (p *overloadPoint) decisions() string {
	if p.enabled {
		return "on"
	}
	return "off"
}

func (p *overloadPoint) sent() int {
	sum := 0
	for _, results := range p.results {
		for _, n := range results {
			sum += n
		}
	}
	return sum
}

func (p *overloadPoint) kindPercent(kind int, result callResult) float64 {
	sum := 0
	for _, n := range p.results[kind] {
		sum += n
	}
	return 100 * float64(p.results[kind][result]) / float64(max(sum, 1))
}

func (p *overloadPoint) totalPercent(result callResult) float64 {
	sum := 0
	for _, results := range p.results {
		sum += results[result]
	}
	return 100 * float64(sum) / float64(max(p.sent(), 1))
}

// rates returns the numbers of orders and reads per second that use the servers' full
// capacity. The service that the reads go to gets its full load from the orders' calls and
// the reads together; the service of the orders gets at most its full load.
func (c *overloadCommand) rates() (perSecond [kinds]float64) {
	slots := usedSlotShare * float64(c.Slots*c.Servers)
	call := c.Work.Seconds() / callWorkDivisor
	perSecond[orders] = slots / (c.Work.Seconds() + float64(c.Depth)*call)
	calls := 0.0
	for n := callsPerRequest; c.Depth > 0 && n <= 1<<c.Depth; n *= callsPerRequest {
		calls = float64(n)
	}
	used := min(perSecond[orders]*calls*call/slots, 1-readShare)
	if calls > 0 {
		perSecond[orders] = min(perSecond[orders], used*slots/(calls*call))
	}
	perSecond[reads] = (1 - used) * slots / (readFactor * c.Work.Seconds())
	return perSecond
}

// routes returns the services and the routes of the table: orders go to the first service
// and reads to the last one, and the calls of each level have a route of their own.
func (c *overloadCommand) routes() (services []string, routes []emulator.Route) {
	aim := int(c.Aim.Milliseconds())
	last := overloadService(max(c.Depth, 1))
	routes = append(routes,
		emulator.Route{Prefix: orderPath, Service: overloadService(0), AimMs: aim, TimeoutMs: timeoutAims * aim, Attempts: 2, Priority: 1},
		emulator.Route{Prefix: readPath, Repeatable: true, Service: last, AimMs: readFactor * aim, TimeoutMs: timeoutAims * readFactor * aim, Attempts: 2, Priority: 2})
	services = append(services, overloadService(0))
	for level := 1; level <= max(c.Depth, 1); level++ {
		services = append(services, overloadService(level))
		routes = append(routes, emulator.Route{
			Prefix: callPath(level), Repeatable: true, Service: overloadService(level), AimMs: aim / 2, TimeoutMs: timeoutAims * aim, Attempts: 2, Priority: 1,
		})
	}
	return services, routes
}

// handlers returns the handlers of the servers at a level.
func (c *overloadCommand) handlers(level int) []emulator.Handler {
	var calls []string
	for range callsPerRequest {
		if level < c.Depth {
			calls = append(calls, callPath(level+1))
		}
	}
	return []emulator.Handler{
		{Prefix: orderPath, ServiceTime: c.Work, Calls: calls},
		{Prefix: readPath, ServiceTime: readFactor * c.Work},
		{Prefix: callPath(level), ServiceTime: c.Work / callWorkDivisor, Calls: calls},
	}
}

func (c *overloadCommand) start(enabled bool) (*emulator.Site, error) {
	names, routes := c.routes()
	var services []emulator.ServiceOptions
	for _, name := range names {
		services = append(services, emulator.ServiceOptions{Name: name, Servers: c.Servers, Slots: c.Slots, ServiceTime: c.Work})
	}
	site, err := emulator.StartSite(emulator.SiteOptions{
		Services:      services,
		Configuration: emulator.Configuration(1, names, routes),
		Adjust: func(s *settings.Settings) {
			s.Overload = settings.Overload{AdmitWithCalls: enabled, ByAim: enabled, DetectCallerRetries: enabled}
		},
	})
	if err != nil {
		return nil, err
	}
	for i, h := range site.Hosts {
		h.Server.SetHandlers(h.CallerAddress(), c.handlers(i/c.Servers)...)
	}
	if err := waitSettled(site); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

// waitSettled waits until every node knows every server.
func waitSettled(site *emulator.Site) error {
	until := time.Now().Add(settleTimeout)
	for _, h := range site.Hosts {
		for !h.Node.Ready() || h.KnownServers() < len(site.Hosts) {
			if time.Now().After(until) {
				return eris.New("timed out waiting for every node to know every server")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// runLoad runs one load with overload control enabled or disabled.
func (c *overloadCommand) runLoad(enabled bool, load float64) (overloadPoint, error) {
	site, err := c.start(enabled)
	if err != nil {
		return overloadPoint{}, err
	}
	defer site.Close()
	run := overloadRun{command: c, site: site, began: time.Now(), point: overloadPoint{enabled: enabled, load: load}, answered: map[string]bool{}}
	var wait sync.WaitGroup
	for kind, rate := range c.rates() {
		wait.Go(func() { run.sendRequests(kind, load*rate) })
	}
	wait.Wait()
	run.callers.Wait()
	run.computeTotals()
	return run.point, nil
}

// overloadRun is the state of one run.
type overloadRun struct {
	command *overloadCommand
	site    *emulator.Site
	began   time.Time
	callers sync.WaitGroup

	mu    sync.Mutex
	point overloadPoint
	// answered tells for each try of a request, by its request ID, whether it ended with
	// success. It includes requests in the warm-up.
	answered map[string]bool
}

// sendRequests sends requests of one kind at random times, whether or not earlier ones have
// ended.
func (r *overloadRun) sendRequests(kind int, rate float64) {
	c := r.command
	rng := rand.New(rand.NewPCG(c.Seed, uint64(kind)))
	for number, at := 0, time.Duration(0); ; number++ {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= c.Length {
			break
		}
		host := r.site.Hosts[rng.IntN(len(r.site.Hosts))]
		time.Sleep(time.Until(r.began.Add(at)))
		due := r.began.Add(at)
		r.callers.Go(func() { r.runCaller(kind, number, host, due, at >= c.Warmup) })
	}
}

// runCaller sends one request, and retries it once if it was refused with a short enough
// retry delay.
func (r *overloadRun) runCaller(kind, number int, host *emulator.Host, due time.Time, counted bool) {
	path, aim := orderPath, r.command.Aim
	if kind == reads {
		path, aim = readPath, readFactor*r.command.Aim
	}
	deadline := due.Add(timeoutAims * aim)
	result := resultFailed
	for try := range 2 {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		id := fmt.Sprintf("%s%d-%06d-%d", kindNames[kind][:1], try, number, r.command.Seed)
		call := emulator.Call{Method: fasthttp.MethodGet, Path: path + strconv.Itoa(number), ID: id, DeadlineMs: int(left.Milliseconds())}
		reply := call.Send(host.CallerAddress())
		result = resultOf(reply, time.Since(due) <= aim)
		r.recordAnswer(id, result)
		wait, ok := retryDelay(reply, time.Until(deadline))
		if !ok {
			break
		}
		time.Sleep(wait)
	}
	if counted {
		r.mu.Lock()
		r.point.results[kind][result]++
		r.mu.Unlock()
	}
}

func (r *overloadRun) recordAnswer(id string, result callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[id] = result == resultInAim || result == resultLate
}

// resultOf returns the result of a try for its caller.
func resultOf(reply emulator.Reply, inTime bool) callResult {
	switch {
	case reply.Err != nil:
		return resultFailed
	case reply.Status == fasthttp.StatusOK && inTime:
		return resultInAim
	case reply.Status == fasthttp.StatusOK:
		return resultLate
	case reply.Status == fasthttp.StatusServiceUnavailable, reply.Status == fasthttp.StatusTooManyRequests:
		return resultRefused
	}
	return resultFailed
}

// retryDelay returns the delay after which a caller retries; ok is false if it does not
// retry. left is the time until its deadline.
func retryDelay(reply emulator.Reply, left time.Duration) (wait time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(reply.RetryAfter, 64)
	if err != nil || resultOf(reply, true) != resultRefused {
		return 0, false
	}
	wait = time.Duration(seconds * float64(time.Second))
	return wait, wait <= left/retryDelayDivisor
}

// computeTotals computes the run's goodput and its share of wasted executions.
func (r *overloadRun) computeTotals() {
	for _, results := range r.point.results {
		r.point.goodput += float64(results[resultInAim]) / (r.command.Length - r.command.Warmup).Seconds()
	}
	started, wasted := 0, 0
	for _, h := range r.site.Hosts {
		for _, a := range h.Server.Arrivals() {
			answered, own := r.answered[a.RequestID]
			if !own || !a.Ran {
				continue
			}
			started++
			if !answered {
				wasted++
			}
		}
	}
	r.point.wasted = float64(wasted) / float64(max(started, 1))
}
