package policy

import "time"

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The effects a class can have.
const (
	NonIdempotent  Idempotency = iota // must never run twice; also what an unknown effect counts as
	IdempotencyKey                    // a group of stores drops repeats for a while
	Idempotent                        // may be repeated freely
)

// DeduplicationScope is the group of stores that share what they know of repeats of a keyed request.
type DeduplicationScope int

// The scopes of a keyed class.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	Idempotency             Idempotency
	DeduplicationScope      DeduplicationScope
	DeduplicationWindow     time.Duration // how long repeats of a keyed request are dropped
	LatencyObjective        time.Duration // full worth when answered within this, plus AimStretch times the sending time
	LatencyObjectiveStretch float64
	PriorityWeight          float64
	FreshFor                time.Duration // 0: good until purged
	StaleFor                time.Duration // how much past Fresh a copy may still be served when asked for
	Uncacheable             bool          // never kept: runs at the origin
	Stream                  bool
}

// Siblings says which caches may be the source of a fill.
type Siblings int

// Which siblings may fill.
const (
	SiblingsNone Siblings = iota
	SiblingsZone
	SiblingsAny
)

// Settings is what a router is told at its start, and as an event when operators change it. Zero values mean 'not
// told' and get safe meanings. What is under way keeps its class.
type Settings struct {
	Zone                int
	Classes             []Class
	ParentKind          int // -1: no parents
	OriginKind          int
	Routers             int   // routers of this tier in all
	RouterIndex         int   // this router's number among them, from 0
	RoutersInZone       int   // of them, in this zone; 0: not told
	ProcessesPerRouter  int   // that may stand for one router at once, while one takes over from another; 0: one
	ZoneHubs            []int // the hub that each zone is tied to, by its place in the ring of hubs; empty: not told
	WeightsConfigured   bool  // weights count one-client transfers
	TransferKBPerSecond float64
	ZoneLinkTransfers   float64 // one-client transfers that this zone's link in carries; 0: not told
	DirectRequests      bool    // parents and the origin take requests too
	CoalesceFills       bool
	Siblings            Siblings

	MaxAttempts   int
	MayCancel     bool
	Hedging       bool
	MaxRetryAfter time.Duration

	SlowStartCapacity float64 // a cache starts at this share of its capacity or more
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration

	ParentSlowStartCapacity float64
	ParentSlowStartDuration time.Duration
	ParentOverloadMultiple  float64

	PurgeGrace           time.Duration
	PurgeCompletedWithin time.Duration // no copy older than a purge is left after this
}
