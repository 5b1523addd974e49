package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

type endpointState struct {
	Endpoint
	hash                         uint64
	link                         link
	firstByteSeconds             mean // as a source, seconds
	misindication                ratio
	cacheIndex                   *simplelru.LRU[uint64, cacheRecord]
	slowStartAttempts            []*attempt    // sent lately, kept while the member is cold
	ejections                    int           // in a row
	consecutiveFailures          int           // requests in a row that it failed and another member answered
	lastAnsweredDecidedAt        time.Duration // when the latest of its answered attempts was sent
	lastResponseAt, ejectedUntil time.Duration
}

func (list EndpointUpdate) apply(r *Router) {
	for _, m := range r.endpoints {
		if list.Full { // members not named again are gone
			m.State = Removed
		}
	}
	for _, entry := range list.Endpoints {
		m := r.endpoints[entry.ID]
		if m == nil {
			m = &endpointState{hash: xxhash.Sum64String(entry.ID), link: newLink()}
			r.endpoints[entry.ID] = m
		}
		if m.cacheIndex == nil || m.Started != entry.Started || entry.State == Removed { // it is empty
			m.cacheIndex, _ = simplelru.NewLRU[uint64, cacheRecord](cacheIndexSize, nil)
			m.misindication, m.link.slowdown = ratio{}, 0
			m.ejections, m.ejectedUntil = 0, 0
		}
		if m.Started != entry.Started { // what one life was sent does not weigh on the next
			m.slowStartAttempts = nil
		}
		m.Endpoint = entry
	}
	r.updateTopology()
}

func (c ClockCorrection) apply(r *Router) {
	for _, m := range r.endpoints {
		if m.Started != 0 {
			m.Started += c.Offset
		}
	}
	r.purges.postpone(max(0, c.Offset))
}

// updateTopology lists who is not gone, and sizes links: as told, else each tier for its share of the one below.
func (r *Router) updateTopology() {
	r.caches, r.parents, r.origin = nil, nil, nil
	allCaches, zoneFills := 0.0, 0.0
	instances := float64(max(1, r.settings.Routers))
	zoneRouters := float64(cmp.Or(r.settings.RoutersInZone, int(instances)))
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		m := r.endpoints[id]
		switch size := r.linkCapacity(m, defaultLinkCapacity); {
		case m.State == Removed:
		case m.Kind == r.settings.OriginKind && (r.origin == nil || m.State > r.origin.State):
			r.origin = m
		case m.Kind == r.settings.ParentKind:
			r.parents = append(r.parents, m)
		case r.isCache(m):
			allCaches += size
			if m.Zone == r.settings.Zone {
				m.link.resize(size, zoneRouters, r.settings.WeightsConfigured)
				r.caches = append(r.caches, m)
				zoneFills += size * fillFraction
			}
		}
	}
	for _, m := range r.parents {
		even := max(fillFraction*allCaches/float64(len(r.parents)), defaultLinkCapacity)
		m.link.resize(r.linkCapacity(m, even), instances, r.settings.WeightsConfigured)
	}
	if r.origin != nil {
		r.origin.link.resize(max(fillFraction*fillFraction*allCaches, defaultLinkCapacity), instances, false)
		r.originLimit.minimum = min(1, r.origin.link.nominalCapacity/instances)
	}
	told := r.settings.WeightsConfigured || r.settings.ZoneLinkTransfers > 0
	r.zoneLink.resize(max(cmp.Or(r.settings.ZoneLinkTransfers, zoneFills), 1), zoneRouters, told)
}

func (r *Router) isCache(m *endpointState) bool {
	return m.Kind != r.settings.ParentKind && m.Kind != r.settings.OriginKind
}
