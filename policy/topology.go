package policy

// The topology groups the listed endpoints by tier: the caches of this router's zone, the parents and the
// origins. Each tier is in the order of IDs.
//
// Inputs: endpoints before and after a change, and the settings. Result: the tiers, the total capacity of the
// caches, and the nominal capacities of the links. A change to one endpoint costs a binary search in its tier
// and the links of the parents and the origin, but does not depend on the number of listed caches.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// capacityUnitsPerTransfer is the resolution of a capacitySum.
	capacityUnitsPerTransfer = 1 << 20
	// maxSummedCapacity is the most, in transfers, that one endpoint adds to a capacitySum, so that it can't
	// overflow.
	maxSummedCapacity = 1 << 30
)

// capacitySum is a sum of link capacities as a fixed-point number: unlike a sum of floating-point numbers, it
// does not depend on the order of additions, and a subtraction undoes an addition exactly.
type capacitySum int64

// add adds a capacity, in transfers.
func (s *capacitySum) add(capacity float64) { *s += capacityUnits(capacity) }

// subtract undoes the addition of a capacity.
func (s *capacitySum) subtract(capacity float64) { *s -= capacityUnits(capacity) }

// transfers returns the sum.
func (s capacitySum) transfers() float64 { return float64(s) / capacityUnitsPerTransfer }

func capacityUnits(capacity float64) capacitySum {
	return capacitySum(math.Round(min(capacity, maxSummedCapacity) * capacityUnitsPerTransfer))
}

// rebuildTopology assigns all listed endpoints to tiers and sets the capacity of their links.
func (r *Router) rebuildTopology() {
	r.caches = nil
	r.parents = nil
	r.origins = nil
	r.cacheCapacity = 0
	r.zoneCacheCapacity = 0
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		r.addToTier(r.endpoints[id])
	}
	r.configureUpperLinks()
}

// addToTier adds an endpoint to its tier, and the capacity of a cache to the totals. It does nothing for a
// removed endpoint.
func (r *Router) addToTier(e *endpointState) {
	if e.State == Removed {
		return
	}
	if tier := r.tierOf(e); tier != nil {
		index, _ := searchTier(*tier, e)
		*tier = slices.Insert(*tier, index, e)
	}
	if !r.isCache(e) {
		return
	}
	r.countCapacity(e, (*capacitySum).add)
	if e.Zone == r.settings.Zone {
		capacity := r.linkCapacity(e, defaultLinkCapacity)
		e.link.configure(capacity, r.routersInZone(), r.settings.WeightsConfigured)
	}
}

// removeFromTier undoes addToTier. It must be called before a listed field of the endpoint changes.
func (r *Router) removeFromTier(e *endpointState) {
	if e.State == Removed {
		return
	}
	if tier := r.tierOf(e); tier != nil {
		if index, found := searchTier(*tier, e); found {
			*tier = slices.Delete(*tier, index, index+1)
		}
	}
	if r.isCache(e) {
		r.countCapacity(e, (*capacitySum).subtract)
	}
}

// countCapacity adds the capacity of a cache to the totals, or subtracts it from them.
func (r *Router) countCapacity(e *endpointState, count func(*capacitySum, float64)) {
	capacity := r.linkCapacity(e, defaultLinkCapacity)
	count(&r.cacheCapacity, capacity)
	if e.Zone == r.settings.Zone {
		count(&r.zoneCacheCapacity, capacity)
	}
}

// tierOf returns the tier that an endpoint belongs to by its kind and zone; nil for a cache of another zone.
func (r *Router) tierOf(e *endpointState) *[]*endpointState {
	switch {
	case e.Kind == r.settings.OriginKind:
		return &r.origins
	case e.Kind == r.settings.ParentKind:
		return &r.parents
	case e.Zone == r.settings.Zone:
		return &r.caches
	}
	return nil
}

// searchTier returns the position of an endpoint in a tier, or where it is to be inserted.
func searchTier(tier []*endpointState, e *endpointState) (index int, found bool) {
	return slices.BinarySearchFunc(tier, e.ID, func(other *endpointState, id string) int {
		return cmp.Compare(other.ID, id)
	})
}

// preferredOrigin returns the origin to use: of several, a ready one is preferred to a draining one. It is
// nil while none is listed.
func preferredOrigin(origins []*endpointState) *endpointState {
	var preferred *endpointState
	for _, e := range origins {
		if preferred == nil || e.State > preferred.State {
			preferred = e
		}
	}
	return preferred
}

// routersInZone is the number of routers that share the links of this zone.
func (r *Router) routersInZone() float64 {
	if r.settings.RoutersInZone != 0 {
		return float64(r.settings.RoutersInZone)
	}
	return float64(max(1, r.settings.Routers))
}

// configureUpperLinks selects the origin and sets the nominal capacity of the links to the parents, to the
// origin and into the zone. Where none is configured, a tier is assumed to have the capacity that the fills
// of the tier below need.
func (r *Router) configureUpperLinks() {
	r.origin = preferredOrigin(r.origins)
	routers := float64(max(1, r.settings.Routers))
	weightsConfigured := r.settings.WeightsConfigured
	cacheCapacity := r.cacheCapacity.transfers()
	for _, e := range r.parents {
		evenShare := max(fillFraction*cacheCapacity/float64(len(r.parents)), defaultLinkCapacity)
		e.link.configure(r.linkCapacity(e, evenShare), routers, weightsConfigured)
	}
	if r.origin != nil {
		capacity := max(fillFraction*fillFraction*cacheCapacity, defaultLinkCapacity)
		r.origin.link.configure(capacity, routers, false)
		r.originLimit.minimum = min(1, capacity/routers)
	}
	zoneCapacity := fillFraction * r.zoneCacheCapacity.transfers()
	if r.settings.ZoneLinkTransfers != 0 {
		zoneCapacity = r.settings.ZoneLinkTransfers
	}
	zoneConfigured := weightsConfigured || r.settings.ZoneLinkTransfers > 0
	r.zoneLink.configure(max(zoneCapacity, 1), r.routersInZone(), zoneConfigured)
}
