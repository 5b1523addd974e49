package policy

// Selection picks one endpoint of a tier for a request by weighted rendezvous hashing with bounded load.
//
// Inputs: the hash of the request's object and part, the endpoints' weights, the expected transfer time over
// each link and the time that remains to the latency objective, in seconds. Result: the first endpoint in
// hash order that has capacity. All routers rank the endpoints of an object alike, so that it is cached in
// few places.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// objectiveFraction is the fraction of the time remaining to the objective that a transfer may take. An
	// endpoint whose transfer would take longer is passed over.
	objectiveFraction = 0.7

	// hubDistanceWeight is the factor on a parent's weight for each step around the ring of hubs between its
	// hub and this zone's hub: distant parents cost more and take longer.
	hubDistanceWeight = 0.25
)

// eligible reports whether an endpoint may receive a request: it is listed, not draining, and within its
// slow-start budget. A nil endpoint is not eligible.
func (r *Router) eligible(e *endpointState, req *request) bool {
	return e != nil && e.acceptsAttempts() && r.withinSlowStartBudget(e, req)
}

// firstWithCapacity considers the candidates that are eligible and at which another attempt is harmless. It
// returns the first that has capacity and is neither ejected nor avoided. If none of those has capacity, it
// returns the one whose transfer exceeds the objective least. If all are ejected or avoided, it returns the
// first, and nil if there are none.
func (r *Router) firstWithCapacity(req *request, candidates []*endpointState) *endpointState {
	var best, fallback *endpointState
	leastExcess := math.Inf(1)
	for _, e := range candidates {
		if !r.eligible(e, req) || !r.mayRepeat(req, e) {
			continue
		}
		if fallback == nil {
			fallback = e
		}
		if r.isEjected(e) || req.avoided[e] {
			continue
		}
		excess := r.secondsOverObjective(e, req)
		if excess < leastExcess {
			best = e
			leastExcess = excess
		}
		if leastExcess <= 0 {
			return best
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// secondsOverObjective is the number of seconds by which a transfer from an endpoint, including the wait for
// the first byte of a parent or the origin, exceeds the time that it may take. That time is at least the
// transfer time at full pace.
func (r *Router) secondsOverObjective(e *endpointState, req *request) float64 {
	seconds := e.link.expectedSeconds(r.now, req.transferSeconds, r.slowStartFraction(e))
	if !r.isCache(e) {
		seconds += e.firstByteSeconds.value
	}
	remaining := (req.objectiveAt - r.now).Seconds()
	return seconds - max(objectiveFraction*remaining, req.transferSeconds)
}

// ranked returns endpoints in order of descending score for a request (hash order).
func (r *Router) ranked(endpoints []*endpointState, req *request) []*endpointState {
	return slices.SortedStableFunc(slices.Values(endpoints), func(a, b *endpointState) int {
		return cmp.Compare(r.rendezvousScore(b, req), r.rendezvousScore(a, req))
	})
}

// rendezvousScore is an endpoint's score for a request in weighted rendezvous hashing.
func (r *Router) rendezvousScore(e *endpointState, req *request) float64 {
	weight := r.linkCapacity(e, 1) * r.hubWeight(e)
	const hashBits = 53 // bits of a float64's mantissa
	uniform := (float64(mixHash(e.hash^req.key)>>(64-hashBits)) + 0.5) / (1 << hashBits)
	return -weight / math.Log(uniform)
}

// hubWeight is the factor on a parent's weight for the distance of its hub from this zone's, in steps around
// the ring of hubs. It is 1 if the distance is unknown, and for endpoints that are not parents.
func (r *Router) hubWeight(e *endpointState) float64 {
	hubs := r.settings.ZoneHubs
	zone := r.settings.Zone
	hubsKnown := max(zone, e.Zone) < len(hubs) && min(zone, e.Zone) >= 0
	if e.Kind != r.settings.ParentKind || !hubsKnown {
		return 1
	}
	distance := math.Abs(float64(hubs[zone] - hubs[e.Zone]))
	ringSize := float64(slices.Max(hubs) + 1)
	return math.Pow(hubDistanceWeight, max(0, min(distance, ringSize-distance)))
}

// mixHash is the finalizer of SplitMix64: it makes similar hashes differ in all bits.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
