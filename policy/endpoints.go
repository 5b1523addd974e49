package policy

// Endpoints are the caches, parents and origins of the endpoint list, with what this router knows about each.
//
// Inputs: full endpoint lists and changes to them. Result: the caches of this router's zone, the parents and
// the origin. A restart resets the contents and the health of an endpoint, but not the capacity of its link.

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// removedRetention is the time for which a removed endpoint is kept in case it returns. It is longer than
// any request lives, so that no attempt in flight outlives its endpoint.
const removedRetention = 11 * time.Minute

// endpointState is an endpoint of the list, with what this router knows about it.
type endpointState struct {
	Endpoint
	hash      uint64        // of its ID
	removedAt time.Duration // when it was removed; valid while its state is Removed
	link      link

	// Fills.
	firstByteSeconds mean               // wait for its first byte when it is the source
	misindication    misindicationRatio // of this cache when it is a sibling that fills
	cacheIndex       *simplelru.LRU[uint64, cacheRecord]

	slowStartAttempts []*attempt // attempts that count in its slow-start budget (slowstart.go)

	// Outlier detection.
	ejections               int // counted ejections; each response lowers the count by one
	ejectedUntil            time.Duration
	consecutiveFailures     int // requests that it failed and another endpoint answered
	lastResponseAt          time.Duration
	latestAnsweredAttemptAt time.Duration // when the latest of its answered attempts was created
}

// acceptsAttempts reports whether an endpoint takes new attempts: it is listed and not draining.
func (e *endpointState) acceptsAttempts() bool { return e.State == Ready }

// isCache reports whether an endpoint is a cache, as opposed to a parent or an origin.
func (r *Router) isCache(e *endpointState) bool {
	return e.Kind != r.settings.ParentKind && e.Kind != r.settings.OriginKind
}

// apply updates the endpoints. An endpoint that is missing from a full list is removed.
func (update EndpointUpdate) apply(r *Router) {
	if update.Full {
		for _, e := range r.endpoints {
			e.setState(Removed, r.now)
		}
	}
	for _, listedEndpoint := range update.Endpoints {
		e := r.endpoints[listedEndpoint.ID]
		if e == nil {
			e = &endpointState{hash: xxhash.Sum64String(listedEndpoint.ID), link: newLink()}
			e.removedAt = r.now
			e.resetContentsAndHealth()
			r.endpoints[listedEndpoint.ID] = e
		}
		e.update(listedEndpoint, r.now)
	}
	r.forgetRemoved()
	r.updateTopology()
}

// forgetRemoved deletes the endpoints that were removed longer than removedRetention ago.
func (r *Router) forgetRemoved() {
	maps.DeleteFunc(r.endpoints, func(_ string, e *endpointState) bool {
		return e.State == Removed && r.now-e.removedAt > removedRetention
	})
}

// setState changes an endpoint's state.
func (e *endpointState) setState(state State, now time.Duration) {
	if state == Removed && e.State != Removed {
		e.removedAt = now
	}
	e.State = state
}

// update replaces the listed fields of an endpoint. After a restart or a removal, it also resets what is
// known about the endpoint's contents and health.
func (e *endpointState) update(listedEndpoint Endpoint, now time.Duration) {
	restarted := e.Started != listedEndpoint.Started
	if restarted || listedEndpoint.State == Removed {
		e.resetContentsAndHealth()
	}
	if restarted { // attempts sent to the previous incarnation do not load this one
		e.slowStartAttempts = nil
	}
	e.setState(listedEndpoint.State, now)
	e.Endpoint = listedEndpoint
}

// resetContentsAndHealth marks an endpoint as empty, not ejected and without failures, as after a restart.
func (e *endpointState) resetContentsAndHealth() {
	// NewLRU fails only for a size below 1.
	e.cacheIndex, _ = simplelru.NewLRU[uint64, cacheRecord](cacheIndexSize, nil)
	e.misindication = misindicationRatio{}
	e.link.slowdown = 0
	e.ejections = 0
	e.ejectedUntil = 0
	e.consecutiveFailures = 0
}

// apply adds the offset to the start times. Purge times are never moved earlier: a purge must not count as
// older than it is.
func (correction ClockCorrection) apply(r *Router) {
	for _, e := range r.endpoints {
		if e.Started != 0 {
			e.Started += correction.Offset
		}
	}
	r.purges.shift(max(0, correction.Offset))
}

// updateTopology assigns the listed endpoints to tiers, in the order of their IDs, and sets the capacity of
// their links.
func (r *Router) updateTopology() {
	r.caches = nil
	r.parents = nil
	r.origin = nil
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		e := r.endpoints[id]
		if e.State != Removed {
			r.addToTier(e)
		}
	}
	r.configureLinks()
}

// addToTier adds an endpoint to its tier. Of several origins, a ready one is preferred to a draining one.
func (r *Router) addToTier(e *endpointState) {
	switch {
	case e.Kind == r.settings.OriginKind && (r.origin == nil || e.State > r.origin.State):
		r.origin = e
	case e.Kind == r.settings.ParentKind:
		r.parents = append(r.parents, e)
	case r.isCache(e) && e.Zone == r.settings.Zone:
		r.caches = append(r.caches, e)
	}
}
