package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	objectiveFraction = 0.7  // share of the time to the aim that a transfer may take before its member is passed over
	hubDistanceWeight = 0.25 // weight of a parent for each hub on the way: bytes cost more and take longer
)

func (r *Router) ranked(list []*endpointState, req *request) []*endpointState {
	return slices.SortedStableFunc(slices.Values(list), func(a, b *endpointState) int {
		return cmp.Compare(r.rendezvousScore(b, req), r.rendezvousScore(a, req))
	})
}

// rendezvousScore weighs a parent down for each hub on the way, where the ring of hubs is known.
func (r *Router) rendezvousScore(m *endpointState, req *request) float64 {
	weight, hubs, zone := r.linkCapacity(m, 1), r.settings.ZoneHubs, r.settings.Zone
	if m.Kind == r.settings.ParentKind && max(zone, m.Zone) < len(hubs) && min(zone, m.Zone) >= 0 {
		distance, ring := math.Abs(float64(hubs[zone]-hubs[m.Zone])), float64(slices.Max(hubs)+1)
		weight *= math.Pow(hubDistanceWeight, max(0, min(distance, ring-distance)))
	}
	return -weight / math.Log((float64(mixHash(m.hash^req.key)>>11)+0.5)/(1<<53))
}

// mixHash is the finaliser of splitmix64.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// firstWithCapacity returns the first healthy candidate with room, else the one with most room, else a suspect.
func (r *Router) firstWithCapacity(req *request, candidates []*endpointState) *endpointState {
	var best, fallback *endpointState
	least := math.Inf(1)
	for _, m := range candidates {
		if !r.eligible(m, req) || !r.mayRepeat(req, m) {
			continue
		}
		fallback = cmp.Or(fallback, m)
		if r.isEjected(m) || req.avoid[m] {
			continue
		}
		if excess := r.secondsOverObjective(m, req); excess < least {
			best, least = m, excess
		}
		if least <= 0 {
			return best
		}
	}
	return cmp.Or(best, fallback)
}

func (r *Router) eligible(m *endpointState, req *request) bool {
	return m != nil && m.State == Ready && r.withinSlowStartBudget(m, req)
}

func (r *Router) secondsOverObjective(m *endpointState, req *request) float64 {
	seconds := m.link.expectedSeconds(r.now, req.transferSeconds, r.slowStartFraction(m))
	if !r.isCache(m) {
		seconds += m.firstByteSeconds.value
	}
	return seconds - max(objectiveFraction*(req.objectiveAt-r.now).Seconds(), req.transferSeconds)
}
