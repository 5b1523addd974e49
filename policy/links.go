package policy

import (
	"math"
	"slices"
	"time"
)

const (
	defaultLinkCapacity = 4.0  // transfers that a cache's link carries at full pace, until it is measured
	fillFraction        = 0.33 // share of what caches carry that the tier above fills: two of three are hits
	capacityWeight      = 0.1  // how fast a link's capacity follows its answers
	capacityRange       = 4.0  // it stays within this factor of the nominal one
	slowdownWeight      = 0.3  // how fast a member's slowdown follows its answers
	maxSlowdown         = 10.0 // sending times
	minSlowdown         = 0.5  // less does not count
	congestedMultiple   = 1.2  // an answer slower than this many sending times says something of a link
	slowdownDecayTime   = 5 * time.Second
	loadAverageTime     = 5 * time.Second // own transfers are averaged over this to estimate the other routers'
)

// link is a network link as this router sees it. Each router that shares it is taken to load it alike.
type link struct {
	nominalCapacity, capacity float64 // one-client transfers at full pace: as configured, and as learned
	configured                bool    // the nominal capacity rests on sizes that were told
	routers                   float64 // routers that share it
	inFlight                  []*attempt
	meanLoad                  float64 // of this router
	slowdown                  float64 // sending times by which transfers lasted longer than congestion explains

	loadUpdatedAt, slowdownUpdatedAt time.Duration
}

func newLink() link { return link{nominalCapacity: 1, capacity: 1} }

func (l *link) resize(nominal, sharers float64, told bool) {
	l.nominalCapacity, l.capacity, l.routers, l.configured = nominal, l.capacity*nominal/l.nominalCapacity, sharers, told
}

func (l *link) updateCapacity(better float64) {
	learned := l.capacity * math.Pow(min(max(better, 0.5), 2), capacityWeight)
	l.capacity = min(max(learned, l.nominalCapacity/capacityRange), l.nominalCapacity*capacityRange)
}

// congestion is how many sending times a further transfer of work seconds takes.
func (l *link) congestion(now time.Duration, work, warm float64) float64 {
	sum := 1 + (l.routers-1)*l.load(now)
	for _, a := range l.inFlight {
		sum += min(a.request.transferSeconds/work, 1) * a.loadOn(l)
	}
	return math.Max(1, sum/max(l.capacity*warm, 1e-6))
}

func (l *link) expectedSeconds(now time.Duration, work, warm float64) float64 {
	slowdown := l.currentSlowdown(now)
	if slowdown < minSlowdown {
		slowdown = 0
	}
	return work * l.congestion(now, work, warm) * (1 + slowdown)
}

func (l *link) currentSlowdown(now time.Duration) float64 {
	return l.slowdown * math.Exp(-(now-l.slowdownUpdatedAt).Seconds()/slowdownDecayTime.Seconds())
}

func (l *link) updateSlowdown(now time.Duration, times float64) {
	current := l.currentSlowdown(now)
	change := slowdownWeight * (min(max(times, 1), maxSlowdown) - 1 - current)
	l.slowdown, l.slowdownUpdatedAt = current+change, now
}

func (l *link) load(now time.Duration) float64 {
	current := 0.0
	for _, a := range l.inFlight {
		current += a.loadOn(l)
	}
	elapsed := (now - l.loadUpdatedAt).Seconds()
	return l.meanLoad + (current-l.meanLoad)*-math.Expm1(-elapsed/loadAverageTime.Seconds())
}

func (a *attempt) loadOn(l *link) float64 {
	if l == &a.target.link {
		return 1
	}
	return a.missProbability
}

func (l *link) add(a *attempt, now time.Duration) {
	l.meanLoad, l.loadUpdatedAt = l.load(now), now
	l.inFlight = append(l.inFlight, a)
}

func (a *attempt) leaveLinks(now time.Duration) {
	for _, l := range a.links {
		l.meanLoad, l.loadUpdatedAt = l.load(now), now
		l.inFlight = slices.DeleteFunc(l.inFlight, func(other *attempt) bool { return a == other })
	}
}

func (r *Router) linkCapacity(m *endpointState, otherwise float64) float64 {
	if r.settings.WeightsConfigured && m.Weight > 0 {
		return m.Weight
	}
	return otherwise
}
