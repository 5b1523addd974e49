package policy

// Settings are the configuration of a Router. This file holds types only.

import "time"

// Idempotency says whether a request may be carried out more than once.
type Idempotency int

// The idempotency of a class.
const (
	NonIdempotent  Idempotency = iota // must not run twice; unknown values in a configuration mean this
	IdempotencyKey                    // carries a key by which endpoints drop repeats, see DeduplicationScope
	Idempotent                        // may be repeated freely
)

// DeduplicationScope is the group of endpoints that deduplicate requests together by their idempotency keys.
type DeduplicationScope int

// The scopes of a class with idempotency keys.
const (
	ScopeCell DeduplicationScope = iota // the endpoints of one cell of a zone
	ScopeZone                           // the endpoints of one zone
	ScopeAll                            // all endpoints
)

// Class describes one class of requests.
type Class struct {
	Name                string
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // time for which a repeat with the same key is dropped

	// An answer is in time if it takes at most LatencyObjective, plus LatencyObjectivePerTransfer times its
	// transfer time.
	LatencyObjective            time.Duration
	LatencyObjectivePerTransfer float64
	PriorityWeight              float64 // value of an answer that is in time, relative to other classes

	FreshFor    time.Duration // age up to which a copy is fresh; 0: until it is purged
	StaleFor    time.Duration // further time for which it may be served stale
	Uncacheable bool          // runs at the origin, and its answer is not cached
	Stream      bool          // the answer is streamed to the client as it comes
}

// Siblings says which caches may fill the misses of a cache.
type Siblings int

// The caches that may fill a miss.
const (
	SiblingsNone Siblings = iota // no other cache
	SiblingsZone                 // caches of the same zone
	SiblingsAny                  // all caches; this package uses only those of the same zone
)

// Settings configures a Router at its start and, as an event, whenever operators change the configuration. A
// zero value means 'not configured' unless its field says otherwise. A request keeps the class that it
// arrived with.
type Settings struct {
	Zone       int     // of this router
	Classes    []Class // by the class number of a Request
	ParentKind int     // kind of endpoints that are parents; -1: there are none
	OriginKind int     // kind of endpoints that are origins; all other kinds are caches

	Routers            int // routers in all zones, this one included; 0 counts as 1
	RouterIndex        int // this router's number among all routers, from 0
	RoutersInZone      int // routers in this zone, this one included; 0: as many as Routers
	ProcessesPerRouter int // processes of one router that run at once during a takeover; 0 counts as 1

	// ZoneHubs holds, for each zone, the position of its hub in the ring of hubs. Empty: unknown.
	ZoneHubs []int

	WeightsConfigured   bool    // the weight of an endpoint is its capacity in transfers at full pace
	TransferKBPerSecond float64 // pace of one transfer without congestion; 0: unknown
	ZoneLinkTransfers   float64 // capacity of this zone's inbound link, in transfers; 0: unknown

	DirectRequests bool // parents and the origin accept requests from routers
	CoalesceFills  bool // a miss may wait for a fill of the same object that is in progress
	Siblings       Siblings

	MaxAttempts    int           // of one request, retries and hedges included; 0 counts as 2
	CancelAttempts bool          // attempts may be cancelled
	Hedging        bool          // an overdue attempt may be repeated while it is pending
	MaxRetryAfter  time.Duration // longest Retry-After of a rejection; less than 300 ms counts as 300 ms

	// Slow start of a cache. A cache fails when it receives OverloadMultiple times its current capacity for
	// OverloadWindow.
	SlowStartCapacity float64       // fraction of its capacity that it has at its start
	SlowStartDuration time.Duration // until it has its full capacity; 0: no slow start
	OverloadMultiple  float64
	OverloadWindow    time.Duration

	// Slow start of a parent. Its overload window is that of caches.
	ParentSlowStartCapacity float64
	ParentSlowStartDuration time.Duration
	ParentOverloadMultiple  float64

	// After PurgeCompletedWithin no copy from before a purge exists; PurgeGrace is added to allow for delays.
	PurgeGrace           time.Duration
	PurgeCompletedWithin time.Duration
}
