package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

type member struct {
	Endpoint
	hash                    uint64
	link                    link
	firstByteWait           mean // as a source, seconds
	misindication           ratio
	copies                  *simplelru.LRU[uint64, copyRecord]
	coldAttempts            []*attempt    // sent lately, kept while the member is cold
	suspicions              int           // in a row
	failures                int           // requests in a row that it failed and another member answered
	lastAnswerSent          time.Duration // when the latest of its answered attempts was sent
	lastHeard, suspectUntil time.Duration
}

func (list EndpointUpdate) apply(r *Router) {
	for _, m := range r.members {
		if list.Full { // members not named again are gone
			m.State = Removed
		}
	}
	for _, entry := range list.Endpoints {
		m := r.members[entry.ID]
		if m == nil {
			m = &member{hash: xxhash.Sum64String(entry.ID), link: newLink()}
			r.members[entry.ID] = m
		}
		if m.copies == nil || m.Started != entry.Started || entry.State == Removed { // it is empty
			m.copies, _ = simplelru.NewLRU[uint64, copyRecord](copyTableSize, nil)
			m.misindication, m.link.slowdown = ratio{}, 0
			m.suspicions, m.suspectUntil = 0, 0
		}
		if m.Started != entry.Started { // what one life was sent does not weigh on the next
			m.coldAttempts = nil
		}
		m.Endpoint = entry
	}
	r.sortMembers()
}

func (c ClockCorrection) apply(r *Router) {
	for _, m := range r.members {
		if m.Started != 0 {
			m.Started += c.Offset
		}
	}
	for key := range r.purges {
		r.purges[key] += max(0, c.Offset)
	}
}

// sortMembers lists who is not gone, and sizes links: as told, else each tier for its share of the one below.
func (r *Router) sortMembers() {
	r.caches, r.parents, r.origin = nil, nil, nil
	allCaches, zoneFills := 0.0, 0.0
	instances := float64(max(1, r.settings.Routers))
	zoneRouters := float64(cmp.Or(r.settings.RoutersInZone, int(instances)))
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[id]
		switch size := r.linkSize(m, defaultCapacity); {
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
				zoneFills += size * fillShare
			}
		}
	}
	for _, m := range r.parents {
		even := max(fillShare*allCaches/float64(len(r.parents)), defaultCapacity)
		m.link.resize(r.linkSize(m, even), instances, r.settings.WeightsConfigured)
	}
	if r.origin != nil {
		r.origin.link.resize(max(fillShare*fillShare*allCaches, defaultCapacity), instances, false)
		r.originLimiter.minimum = min(1, r.origin.link.nominal/instances)
	}
	told := r.settings.WeightsConfigured || r.settings.ZoneLinkTransfers > 0
	r.zoneLink.resize(max(cmp.Or(r.settings.ZoneLinkTransfers, zoneFills), 1), zoneRouters, told)
}

func (r *Router) isCache(m *member) bool {
	return m.Kind != r.settings.ParentKind && m.Kind != r.settings.OriginKind
}
