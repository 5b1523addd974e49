package policy

// Endpoints are the caches, parents and origins of the endpoint list, with what this router knows about each.
//
// Inputs: full endpoint lists and changes to them. Result: the caches of this router's zone, the parents and
// the origin. A restart resets the contents and the health of an endpoint, but not the capacity of its link.

import (
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

// apply updates the endpoints. An endpoint that is missing from a full list is removed. Changes cost in
// proportion to their number, a full list in proportion to the number of endpoints.
func (update EndpointUpdate) apply(r *Router) {
	if update.Full {
		r.applyFullList(update.Endpoints)
		return
	}
	for _, listedEndpoint := range update.Endpoints {
		e := r.endpointByID(listedEndpoint.ID)
		r.removeFromTier(e)
		e.update(listedEndpoint, r.now)
		r.addToTier(e)
		r.removed.recordIfRemoved(e)
	}
	r.forgetRemoved()
	r.configureUpperLinks()
}

// applyFullList replaces the listed endpoints.
func (r *Router) applyFullList(list []Endpoint) {
	for _, e := range r.endpoints {
		e.setState(Removed, r.now)
	}
	for _, listedEndpoint := range list {
		r.endpointByID(listedEndpoint.ID).update(listedEndpoint, r.now)
	}
	for _, e := range r.endpoints {
		if e.removedAt == r.now {
			r.removed.recordIfRemoved(e)
		}
	}
	r.forgetRemoved()
	r.rebuildTopology()
}

// endpointByID returns the endpoint with an ID. It adds one that is not known, as removed.
func (r *Router) endpointByID(id string) *endpointState {
	e := r.endpoints[id]
	if e == nil {
		e = &endpointState{hash: xxhash.Sum64String(id), link: newLink(), removedAt: r.now}
		e.ID = id
		e.resetContentsAndHealth()
		r.endpoints[id] = e
	}
	return e
}

// removedEndpoints lists endpoints in the order in which they were removed. An endpoint may be in it more
// than once, or have returned since.
type removedEndpoints []removedEndpoint

// removedEndpoint is one removal of an endpoint.
type removedEndpoint struct {
	endpoint  *endpointState
	removedAt time.Duration
}

// recordIfRemoved records the removal of an endpoint, if it is removed.
func (list *removedEndpoints) recordIfRemoved(e *endpointState) {
	if e.State == Removed {
		*list = append(*list, removedEndpoint{endpoint: e, removedAt: e.removedAt})
	}
}

// forgetRemoved deletes the endpoints that were removed longer than removedRetention ago.
func (r *Router) forgetRemoved() {
	for len(r.removed) > 0 && r.now-r.removed[0].removedAt > removedRetention {
		oldest := r.removed[0]
		r.removed = r.removed[1:]
		e := oldest.endpoint
		if e.State == Removed && e.removedAt == oldest.removedAt && r.endpoints[e.ID] == e {
			delete(r.endpoints, e.ID)
		}
	}
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
