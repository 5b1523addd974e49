package policy

// A link is the network path to one endpoint, or the path into this router's zone, as this router sees it.
// Its capacity is a number of concurrent transfers at full pace (transfertime.go); more of them make each one
// slower (congestion).
//
// Inputs: the configured capacity, the attempts in flight, the number of routers that share the link, and the
// pace of answers (linkpace.go). Result: how many seconds one more transfer takes.
//
// A router cannot observe the others. It assumes that each of them puts as much load on a link as the router
// itself does on average.

import (
	"math"
	"slices"
	"time"
)

const (
	defaultLinkCapacity = 4.0  // transfers, assumed where no capacity is configured
	minLinkCapacity     = 1e-6 // transfers; avoids a division by 0

	// fillFraction is the assumed fraction of a tier's load that the tier above it has to fill: one request
	// in three misses.
	fillFraction = 0.33

	capacityWeight = 0.1 // weight of a new observation of the capacity
	capacityRange  = 4.0 // the learned capacity stays within this factor of the nominal one
	maxPaceChange  = 2.0 // the pace of one observation is limited to this factor, up or down

	slowdownWeight    = 0.3             // weight of a new observation of the slowdown
	minSlowdown       = 0.5             // smaller slowdowns are ignored
	maxSlowdownFactor = 10.0            // one observation is limited to this factor
	slowdownDecayTime = 5 * time.Second // after which a slowdown without new observations has decayed to 1/e

	loadAverageTime = 5 * time.Second // time constant of the average load

	// congestedMultiple is the multiple of the full-pace time from which on a transfer counts as congested.
	congestedMultiple = 1.2
)

// link is the state of one link.
type link struct {
	nominalCapacity float64 // transfers, as configured or assumed
	capacity        float64 // transfers, as learned from answers
	configured      bool    // the nominal capacity is configured, not assumed
	routers         float64 // routers that share the link

	inFlight      []*attempt
	meanLoad      float64 // average load from this router, in transfers
	loadUpdatedAt time.Duration

	// slowdown is the time that transfers take beyond the time that congestion explains, as a multiple of the
	// latter: at 1, they take twice as long. It shows that the endpoint itself is slow.
	slowdown          float64
	slowdownUpdatedAt time.Duration
}

// newLink returns a link of capacity 1. The caller configures it.
func newLink() link { return link{nominalCapacity: 1, capacity: 1} }

// configure sets a link's nominal capacity and scales the learned capacity by the same factor.
func (l *link) configure(nominal, routers float64, configured bool) {
	l.capacity = l.capacity * nominal / l.nominalCapacity
	l.nominalCapacity = nominal
	l.routers = routers
	l.configured = configured
}

// updateCapacity learns from a transfer over a congested link. Pace is the expected time divided by the
// measured time.
func (l *link) updateCapacity(pace float64) {
	limitedPace := min(max(pace, 1/maxPaceChange), maxPaceChange)
	learnedCapacity := l.capacity * math.Pow(limitedPace, capacityWeight)
	l.capacity = min(max(learnedCapacity, l.nominalCapacity/capacityRange), l.nominalCapacity*capacityRange)
}

// congestion is the time that one more transfer takes, as a multiple of its full-pace time; at least 1. A
// shorter transfer in flight counts for the fraction of the new one's time that it takes. Fraction is the
// fraction of the capacity that is available (slow start).
func (l *link) congestion(now time.Duration, transferSeconds, fraction float64) float64 {
	load := 1 + (l.routers-1)*l.load(now)
	for _, a := range l.inFlight {
		load += min(a.request.transferSeconds/transferSeconds, 1) * a.loadOn(l)
	}
	return math.Max(1, load/max(l.capacity*fraction, minLinkCapacity))
}

// expectedSeconds is the expected time of one more transfer in seconds, with congestion and slowdown.
func (l *link) expectedSeconds(now time.Duration, transferSeconds, fraction float64) float64 {
	slowdown := l.currentSlowdown(now)
	if slowdown < minSlowdown {
		slowdown = 0
	}
	return transferSeconds * l.congestion(now, transferSeconds, fraction) * (1 + slowdown)
}

// currentSlowdown is the slowdown, decayed since the last observation.
func (l *link) currentSlowdown(now time.Duration) float64 {
	age := now - l.slowdownUpdatedAt
	return l.slowdown * math.Exp(-age.Seconds()/slowdownDecayTime.Seconds())
}

// updateSlowdown learns from a transfer over a link without congestion. Factor is the measured time divided
// by the full-pace time.
func (l *link) updateSlowdown(now time.Duration, factor float64) {
	current := l.currentSlowdown(now)
	observed := min(max(factor, 1), maxSlowdownFactor) - 1
	l.slowdown = current + slowdownWeight*(observed-current)
	l.slowdownUpdatedAt = now
}

// load is this router's average load on the link, in transfers.
func (l *link) load(now time.Duration) float64 {
	currentLoad := 0.0
	for _, a := range l.inFlight {
		currentLoad += a.loadOn(l)
	}
	elapsed := now - l.loadUpdatedAt
	return l.meanLoad + (currentLoad-l.meanLoad)*-math.Expm1(-elapsed.Seconds()/loadAverageTime.Seconds())
}

// updateLoad brings the average load up to date before the attempts in flight change.
func (l *link) updateLoad(now time.Duration) {
	l.meanLoad = l.load(now)
	l.loadUpdatedAt = now
}

// add counts an attempt as in flight.
func (l *link) add(a *attempt, now time.Duration) {
	l.updateLoad(now)
	l.inFlight = append(l.inFlight, a)
}

// releaseLinks removes an attempt from all links that it loads.
func (a *attempt) releaseLinks(now time.Duration) {
	isAttempt := func(other *attempt) bool { return a == other }
	for _, l := range a.links {
		l.updateLoad(now)
		l.inFlight = slices.DeleteFunc(l.inFlight, isAttempt)
	}
}

// loadOn is an attempt's expected load on a link, in transfers: 1 on the target's link, and the probability
// of a miss on the others, which only a fill loads.
func (a *attempt) loadOn(l *link) float64 {
	if l == &a.target.link {
		return 1
	}
	return a.missProbability
}

// linkCapacity is the capacity of an endpoint's link, in transfers: the endpoint's weight, or defaultCapacity
// if Settings.WeightsConfigured is false or the endpoint has no weight.
func (r *Router) linkCapacity(e *endpointState, defaultCapacity float64) float64 {
	if r.settings.WeightsConfigured && e.Weight > 0 {
		return e.Weight
	}
	return defaultCapacity
}
