// SPDX-License-Identifier: MIT

package entry

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// callAdmission is what an entry needs to admit requests together with the calls that
// they make. The zero value knows no routes.
type callAdmission struct {
	mu sync.Mutex
	// routes are the table's routes by their identifiers in package calls, and forecasts
	// the last forecasts for calls to these routes.
	routes    map[calls.Route]*table.Route
	forecasts map[calls.Route]cachedForecast
}

// cachedForecast is a forecast for a call and the time when it was computed.
type cachedForecast struct {
	balance.Forecast
	at time.Time
}

// forecastTTL is how long a forecast is used again: about the time that some calls take,
// so that under load many requests share the cost of computing it.
const forecastTTL = 20 * time.Millisecond

// update applies the routes of a table.
func (w *callAdmission) update(t *table.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routes, w.forecasts = map[calls.Route]*table.Route{}, map[calls.Route]cachedForecast{}
	for i := range t.Routes() {
		route := &t.Routes()[i]
		w.routes[calls.RouteOf(route.Name())] = route
	}
}

// admitWithCalls reports whether the request goes on, because it is a call made by a
// running request or because there is headroom for the calls that it will make. If not,
// the request was already answered.
func (e *Entry) admitWithCalls(r *request) bool {
	if e.settings.Calls == nil || r.route == nil {
		return true
	}
	now := time.Now()
	if priority, ok := e.settings.Calls.RequestArrived(now, r.stats.callRoute); ok {
		e.Counters.Calls.Add(1)
		r.callRoute = r.stats.callRoute
		r.message.Call = true
		r.message.Priority = min(priority, uint8(table.Bulk))
		return true
	}
	r.onlyFromClients = e.settings.Calls.FromClients(r.stats.callRoute)
	expected := e.settings.Calls.ExpectedCalls(r.stats.callRoute)
	if len(expected) == 0 {
		return true
	}
	w := e.assessCalls(now, r, expected)
	if r.stats.admit(now, &w) {
		return true
	}
	e.Counters.NoHeadroomForCalls.Add(1)
	e.refundQuota(r, result{})
	f := noHeadroomForCalls(&w)
	e.recordRequest(r, now, event.NotRun, f)
	e.answerFailure(r.ctx, f)
	return false
}

// noHeadroomForCalls is the answer to a request for whose calls there is no headroom.
func noHeadroomForCalls(w *calls.Forecast) failure {
	return failure{
		status:     fasthttp.StatusServiceUnavailable,
		outcome:    header.NotRun,
		proxyError: statusLimited,
		detail:     "refused: " + wire.ReasonCalls.String() + ", room for them is " + strconv.FormatFloat(w.SuccessProbability(), 'f', 2, 64),
		retryAfter: w.RetryAfter(),
		noRetry:    true,
	}
}

// admit reports whether a request of the route is admitted.
func (t *routeStats) admit(now time.Time, w *calls.Forecast) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admission.Admit(now, w.WasteProbability(), calls.MaxWasteProbability(w.Priority))
}

// assessCalls combines the forecasts for the calls of a request.
func (e *Entry) assessCalls(now time.Time, r *request, expected []calls.ExpectedCall) calls.Forecast {
	w := calls.Forecast{Priority: r.message.Priority}
	for _, x := range expected {
		o, ok := e.callForecast(now, x)
		if !ok {
			continue
		}
		lost, took, after := e.settings.Calls.Recent(now, x.Call)
		w.Calls = append(w.Calls, calls.CallForecast{
			Share: x.Share, Times: x.Times, RefusalProbability: max(o.RefusalChance, lost), Duration: max(o.ExpectedTime, took), RetryAfter: after,
		})
	}
	return w
}

// callForecast returns the forecast for a call now; ok is false if the table has no such
// route.
func (e *Entry) callForecast(now time.Time, x calls.ExpectedCall) (cachedForecast, bool) {
	w := &e.callAdmission
	w.mu.Lock()
	route, known := w.routes[x.Call], w.forecasts[x.Call]
	w.mu.Unlock()
	if route == nil || now.Sub(known.at) < forecastTTL {
		return known, route != nil
	}
	s, _ := e.service(mainService(route))
	if s == nil {
		return cachedForecast{}, false
	}
	demand := e.routeStatsOf(route).demand(now, now.Add(route.Aim))
	if x.UsualTime > 0 {
		demand.Work = x.UsualTime
	}
	s.mu.Lock()
	o := cachedForecast{Forecast: s.pool.Forecast(now, demand, true), at: now}
	s.mu.Unlock()
	w.mu.Lock()
	w.forecasts[x.Call] = o
	w.mu.Unlock()
	return o, true
}

// mainService returns the service that gets most of a route's requests.
func mainService(r *table.Route) string {
	most := r.Shares[0]
	for _, s := range r.Shares {
		if s.Weight > most.Weight {
			most = s
		}
	}
	return most.Service
}

// learnCallOrigin records what a gate's answer says about where requests for the route
// come from.
func (e *Entry) learnCallOrigin(r *request, m *wire.Response) {
	if origin := admit.Origin(m.Origin); e.settings.Calls != nil && r.stats != nil && origin != admit.Unknown {
		e.settings.Calls.RecordGateReport(r.stats.callRoute, origin == admit.FromServers)
	}
}

// recordCallResult records how a call made by the server on this host ended. A call that
// failed at a server, or that may have run, says nothing about the headroom there.
func (e *Entry) recordCallResult(r *request, res result) {
	if r.callRoute == 0 {
		return
	}
	now, tracker := time.Now(), e.settings.Calls
	if res.last != nil && res.last.outcome == retry.Answered {
		tracker.CallAnswered(now, r.callRoute, now.Sub(r.began))
		return
	}
	e.Counters.CallsLost.Add(1)
	switch {
	case res.mayHaveRun:
		tracker.CallEnded(now, r.callRoute, 0)
	case res.last == nil:
		tracker.CallRefused(now, r.callRoute, noServerRetryAfter)
	default:
		tracker.CallRefused(now, r.callRoute, res.last.retryAfter)
	}
}
