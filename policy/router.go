// Package policy decides, for one proxy in front of edge caches, which cache serves a request, from where a
// miss is filled, when an attempt is retried, and when a request is rejected instead.
//
// A Router receives events (events.go) and returns actions (actions.go). It does no I/O, reads no clock and
// starts no goroutine: the same settings, seed and events give the same actions. Each rule is in a file of
// its own:
//
//   - requests: request.go (their life cycle), attempt.go, routing.go (cache, parent or origin), selection.go
//     (which endpoint of a tier), fillsource.go and fetchoptions.go (misses), retry.go, overdue.go,
//     idempotency.go
//   - limits on load: loadshedding.go, slowstart.go, originlimit.go, outliers.go
//   - state and estimates: endpoints.go, topology.go, links.go, linkpace.go, transfertime.go,
//     cacheindex.go, purges.go, estimators.go
//   - guards: guard.go and verdict.go, which check these rules again right before the proxy acts.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Router makes all decisions of one proxy. It is not safe for concurrent use.
type Router struct {
	settings  Settings
	rng       *rand.Rand
	now       time.Duration // time of the current event
	startedAt time.Duration // time of the first event
	actions   []Action      // of the current event

	endpoints map[string]*endpointState // by ID, including recently removed ones
	caches    []*endpointState          // of this router's zone, by ID
	parents   []*endpointState          // by ID
	origins   []*endpointState          // by ID
	origin    *endpointState            // the preferred one of origins; nil while none is listed
	removed   removedEndpoints

	cacheCapacity     capacitySum // of the caches of all zones
	zoneCacheCapacity capacitySum // of the caches of this router's zone

	requests    map[int64]*request
	retryBudget float64 // retries that are still allowed
	originLimit originConcurrencyLimit
	zoneLink    link // the zone's inbound link
	purges      purgeTimes

	partTransferSeconds  *simplelru.LRU[uint64, float64] // by request key
	classTransferSeconds map[string]*mean                // by class name

	meanTransferSeconds mean // of all requests
	meanPriorityWeight  mean // of all requests

	missFraction            mean // of misses in answers of caches that were not expected to have the object
	parentFirstByteSeconds  mean // of fills from parents and the origin
	siblingFirstByteSeconds mean // of fills from caches of the zone
}

// New returns a router with the given settings and no endpoints. The seed determines its random choices.
func New(settings Settings, seed uint64) *Router {
	// NewLRU fails only for a size below 1.
	partTransferSeconds, _ := simplelru.NewLRU[uint64, float64](partTableSize, nil)
	r := &Router{
		rng:                  rand.New(rand.NewPCG(seed, 0)),
		endpoints:            map[string]*endpointState{},
		requests:             map[int64]*request{},
		retryBudget:          maxRetryBudget,
		originLimit:          originConcurrencyLimit{limit: maxOriginLimit},
		zoneLink:             newLink(),
		purges:               newPurgeTimes(),
		partTransferSeconds:  partTransferSeconds,
		classTransferSeconds: map[string]*mean{},
	}
	settings.apply(r)
	return r
}

// Handle processes one event and returns the actions to carry out, in order. Now is the time of the event, on
// any clock that never goes backwards.
func (r *Router) Handle(now time.Duration, event Event) []Action {
	r.now = now
	if r.startedAt == 0 {
		r.startedAt = now
	}
	r.actions = nil
	event.apply(r)
	return r.actions
}

// emit adds actions to those of the current event.
func (r *Router) emit(actions ...Action) { r.actions = append(r.actions, actions...) }

// apply replaces the settings. A request keeps the class it arrived with. Learned transfer times are kept by
// class name, as class numbers may be reassigned.
func (settings Settings) apply(r *Router) {
	r.settings = settings
	for _, class := range settings.Classes {
		if r.classTransferSeconds[class.Name] == nil {
			r.classTransferSeconds[class.Name] = &mean{}
		}
	}
	r.rebuildTopology()
}
