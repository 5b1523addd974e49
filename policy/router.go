// Package policy decides, for one proxy in front of edge caches, which cache serves a request, where a miss is
// filled from and how the copy is kept. This file holds its interface only: settings, events and actions. The
// decisions are in the other files, by concern: router (a request and its attempts), placement (the cache), source
// (the source of a fill), retry, health, coldbudget, membership, and estimators (what answers teach of links, sizes and
// ratios).
package policy

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Router makes all decisions of one proxy. It is not safe for concurrent use.
type Router struct {
	settings       Settings
	rng            *rand.Rand
	now, startedAt time.Duration // of this event, and of the first one
	actions        []Action

	endpoints       map[string]*endpointState
	caches, parents []*endpointState // of this router's zone, and of all; by id
	origin          *endpointState
	originLimit     originConcurrencyLimit
	zoneLink        link // the zone's inbound link

	requests             map[int64]*request
	retryBudget          float64                         // further attempts that may still be made
	purges               map[any]time.Duration           // time of each remembered purge, by object or group
	partTransferSeconds  *simplelru.LRU[uint64, float64] // sending times of single parts, seconds
	classTransferSeconds map[string]*mean                // mean sending time by class name, seconds

	meanTransferSeconds, meanPriorityWeight         mean // over all requests
	missFraction                                    mean // share of fills among answers of caches not expected to hold a copy
	parentFirstByteSeconds, siblingFirstByteSeconds mean // first-byte waits, seconds
}

// New returns a router that knows nothing but its settings.
func New(settings Settings, seed uint64) *Router {
	partWork, _ := simplelru.NewLRU[uint64, float64](cacheIndexSize, nil)
	r := &Router{
		rng: rand.New(rand.NewPCG(seed, 0)), endpoints: map[string]*endpointState{}, requests: map[int64]*request{},
		purges: map[any]time.Duration{}, partTransferSeconds: partWork, classTransferSeconds: map[string]*mean{},
		zoneLink: newLink(), originLimit: originConcurrencyLimit{limit: maxOriginLimit}, retryBudget: maxRetryBudget,
	}
	settings.apply(r)
	return r
}

// Handle processes one event at time now and returns the actions to carry out.
func (r *Router) Handle(now time.Duration, event Event) []Action {
	r.now, r.startedAt, r.actions = now, cmp.Or(r.startedAt, now), nil
	event.apply(r)
	return r.actions
}

// What was learned about a class is kept under its name: class numbers may be reassigned.
func (settings Settings) apply(r *Router) {
	r.settings = settings
	for _, class := range settings.Classes {
		r.classTransferSeconds[class.Name] = cmp.Or(r.classTransferSeconds[class.Name], &mean{})
	}
	r.updateTopology()
}
