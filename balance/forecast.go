// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"
)

// Forecast is what a request of a service can expect now, whichever server it is sent to.
type Forecast struct {
	// ExpectedTime is the expected time from sending to answer, waiting included.
	ExpectedTime time.Duration
	// RefusalChance is the probability that no server has headroom for it, from 0 to 1.
	RefusalChance float64
}

const (
	// A request that no other request waits for may queue for its aim divided by
	// rootWaitDivisor.
	rootWaitDivisor = 7
	// The load at a server is uncertain by loadUncertainty requests plus
	// loadUncertaintyShare times its limit.
	loadUncertainty      = 0.5
	loadUncertaintyShare = 0.05
	// tokenUncertainty is the uncertainty of the tokens of a cold server, in tokens: its
	// gate reports them a few times a second.
	tokenUncertainty = 1.5
	// maxServersTried is how many servers a request is offered to before it is refused.
	maxServersTried = 4
	// minRefusalAtCapacity is the least chance of refusal at a server that refused a
	// request for lack of capacity just now, and minRefusalUnhealthy at a server that is unhealthy
	// for another reason.
	minRefusalAtCapacity = 0.5
	minRefusalUnhealthy  = 0.7
)

// Forecast returns the forecast for a request with a demand; call says that another request
// that is running elsewhere would wait for it. Since a request is offered to a few servers
// only, its chance of refusal is the chance that all of the maxServersTried servers that are
// most likely to admit it refuse. Unhealthy servers count only if there are no others, as in
// Pick.
func (p *Pool) Forecast(now time.Time, demand Demand, call bool) Forecast {
	demand.call = call
	builder := p.newForecastBuilder(now, demand)
	for _, s := range p.servers {
		if h := p.healthOf(now, s); h <= atCapacity {
			builder.add(s, h)
		}
	}
	if builder.servers == 0 {
		for s := range p.all() {
			if h := p.healthOf(now, s); h < draining {
				builder.add(s, h)
			}
		}
	}
	return builder.forecast()
}

// forecastBuilder computes a Forecast, server by server.
type forecastBuilder struct {
	pool   *Pool
	now    time.Time
	demand Demand
	// meanSlowness and meanOthersLoad are computed over all servers.
	meanSlowness, meanOthersLoad float64
	// shortest is the shortest expected time at any server, and shortestWithHeadroom at those
	// that are likely to admit the request.
	shortestWithHeadroom, shortest time.Duration
	// refused has the lowest chances of refusal, in ascending order; the first servers
	// elements are set.
	refused [maxServersTried]float64
	servers int
}

func (p *Pool) newForecastBuilder(now time.Time, demand Demand) *forecastBuilder {
	return &forecastBuilder{pool: p, now: now, demand: demand, meanSlowness: p.meanSlowness(now), meanOthersLoad: p.meanOthersLoad(), shortestWithHeadroom: math.MaxInt64, shortest: math.MaxInt64}
}

// add includes a server; h is its health.
func (b *forecastBuilder) add(s *Server, h health) {
	took, refused := b.estimate(s)
	switch {
	case h == atCapacity:
		refused = max(refused, minRefusalAtCapacity)
	case h != healthy:
		refused = max(refused, minRefusalUnhealthy)
	}
	b.shortest = min(b.shortest, took)
	if refused <= 0.5 {
		b.shortestWithHeadroom = min(b.shortestWithHeadroom, took)
	}
	b.insertRefusal(refused)
}

// insertRefusal inserts a chance of refusal into the lowest ones.
func (b *forecastBuilder) insertRefusal(refused float64) {
	if b.servers == len(b.refused) {
		if refused >= b.refused[b.servers-1] {
			return
		}
		b.servers--
	}
	i := b.servers
	for ; i > 0 && b.refused[i-1] > refused; i-- {
		b.refused[i] = b.refused[i-1]
	}
	b.refused[i] = refused
	b.servers++
}

// estimate returns the expected time of the request at a server and the chance that it is
// refused there.
func (b *forecastBuilder) estimate(s *Server) (took time.Duration, refused float64) {
	load := b.pool.loadGivenMean(b.now, s, b.demand.Work, b.meanOthersLoad)
	limit := b.pool.concurrencyLimit(s)
	slowness := max(s.slownessEstimate(b.now, b.meanSlowness)/100, 1)
	took = b.pool.timeUnderLoad(b.now, s, slowness, b.demand, load)
	if b.demand.call {
		took += milliseconds(s.headroom.CallWaitMillis)
	}
	if !b.demand.call && !s.headroomAt.IsZero() && int64(b.demand.Priority) >= s.headroom.AdmittedPriorities {
		return took, 1
	}
	work := time.Duration(slowness * float64(b.demand.Work))
	wait := b.maxWait(work)
	spread := loadUncertainty + loadUncertaintyShare*limit
	service := time.Duration(s.report.ServiceMicros) * time.Microsecond
	if service == 0 {
		service = max(work, time.Millisecond)
	}
	between := float64(service) / limit // The time from one answer to the next.
	ahead := load + 1 - limit
	if b.demand.call {
		ahead = min(ahead, 1) + float64(milliseconds(s.headroom.CallWaitMillis))/between // Calls are queued before other requests.
	}
	refused = exceedProbability((ahead - float64(wait)/between) / spread)
	if token := s.tokenWait(b.now, b.demand.headroomLevel()); token > 0 {
		interval := time.Duration(max(s.headroom.TokenIntervalMillis, 1)) * time.Millisecond
		refused = max(refused, exceedProbability(float64(token-wait)/(tokenUncertainty*float64(interval))))
	}
	return took, refused
}

func milliseconds(millis int64) time.Duration { return time.Duration(millis) * time.Millisecond }

// maxWait returns how long the request may queue at a server where its work takes a given
// time. A call may queue as long as its answer still meets the aim.
func (b *forecastBuilder) maxWait(work time.Duration) time.Duration {
	if b.demand.Aim <= 0 {
		return 0
	}
	if b.demand.call {
		return max(b.demand.Aim-work, 0)
	}
	return b.demand.Aim / rootWaitDivisor
}

// exceedProbability returns the probability that a value exceeds its bound, by a logistic
// function. excess is how far the estimate of the value is above the bound, in units of its
// uncertainty.
func exceedProbability(excess float64) float64 {
	const sure = 6
	switch {
	case excess > sure:
		return 1
	case excess < -sure:
		return 0
	}
	return 1 / (1 + math.Exp(-2*excess))
}

// forecast returns the result for the servers that were added.
func (b *forecastBuilder) forecast() Forecast {
	if b.servers == 0 {
		return Forecast{ExpectedTime: math.MaxInt64, RefusalChance: 1}
	}
	refused := 1.0
	for _, r := range b.refused[:b.servers] {
		refused *= r
	}
	if b.shortestWithHeadroom == math.MaxInt64 {
		b.shortestWithHeadroom = b.shortest
	}
	return Forecast{ExpectedTime: b.shortestWithHeadroom, RefusalChance: refused}
}
