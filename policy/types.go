// Package policy decides, for one proxy in front of edge caches, which cache serves a request, where a miss is
// filled from and how the copy is kept. This file holds its interface only: settings, events and actions. The
// decisions are in the other files, by concern: router (a request and its attempts), placement (the cache), source
// (the source of a fill), retry, health, coldbudget, membership, and estimators (what answers teach of links, sizes and
// ratios).
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

// State is what the list says of a member.
type State int

// States of a member.
const (
	Removed State = iota
	Draining
	Ready
)

// Endpoint is one cache, parent or origin of the list.
type Endpoint struct {
	ID      string
	State   State
	Started time.Duration // clock time of its last start; 0: long ago
	Kind    int
	Zone    int
	Weight  float64
	Cell    int
}

// Event is one thing the router is told: Settings, MemberList, Request, Outcome, StreamStarted, Purge,
// ClientGone, TimerFired or ClockCorrection. Each is applied in the file of the decisions that it leads to.
type Event interface{ apply(r *Router) }

// EndpointUpdate brings the whole list, or changes to it.
type EndpointUpdate struct {
	Full      bool
	Endpoints []Endpoint
}

// Request is a client's request that has come in.
type Request struct {
	ID        int64
	Object    string
	Part      int
	Group     int
	Class     int
	SizeKB    float64 // 0: not told
	Remaining time.Duration
}

// Result is how an attempt ended.
type Result int

// Results of an attempt. Any unknown one counts as ResultError: it may have run.
const (
	ResultError Result = iota
	ResultOK
	ResultRejected      // turned away unseen
	ResultTimeout       // no answer in time
	ResultConnectFailed // no connection
	ResultReset         // broke in flight
	ResultCancelled
	ResultNotSent  // never sent
	ResultNotFound // lacks it
)

var resultNames = [...]string{
	"error", "ok", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss",
}

// String is the result's name in the log.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}

// CacheStatus tells how an answer was had, or why a fill failed.
type CacheStatus int

// Notes of an outcome.
const (
	CacheStatusNone CacheStatus = iota
	CacheStatusHit
	CacheStatusFilled
	CacheStatusFilledByOrigin
	CacheStatusCoalesced
	CacheStatusStale
	CacheStatusSourceRejected
	CacheStatusSourceFailed
	CacheStatusSourceMissing
	CacheStatusNoFillCapacity
	CacheStatusOriginFailed
)

// Outcome reports how one attempt ended.
type Outcome struct {
	ID              int64
	Attempt         int
	Result          Result
	CacheStatus     CacheStatus
	Elapsed         time.Duration
	SourceFirstByte time.Duration // until the source's first byte
	TransferTime    time.Duration // what the answer's bytes take at the pace of one transfer; 0: not told
	RequestFinished bool          // the request is finished
}

// StreamStarted says that a streamed answer has begun; the attempt now belongs to the client.
type StreamStarted struct {
	ID      int64
	Attempt int
}

// Purge says that an object, or a whole group when Object is empty, was purged Age ago.
type Purge struct {
	Object string
	Group  int
	Age    time.Duration
}

// ClientDisconnected says that the client has left and the request is finished.
type ClientDisconnected struct{ ID int64 }

// TimerFired is a timer that has come due.
type TimerFired struct{ Token uint64 }

// Action is one thing the router wants done: Fetch, Refuse, Fail, Cancel or StartTimer.
type Action interface{ action() }

// Fetch sends an attempt to Target, with orders for a miss.
type Fetch struct {
	ID                   int64
	Target               string
	Source               string        // the target itself: nothing is filled
	RetentionRank        int           // rank of the copy; 0: keep none
	MaxAge               time.Duration // oldest copy that will do; 0: as the class has it
	CoalesceFill         bool          // wait for a fill that is under way
	CachedOnly           bool          // the source gives only what it holds
	StaleWhileRevalidate bool          // serve an ageing copy and fetch it anew behind
}

// Reject is a final answer: not done, and trying again is harmless.
type Reject struct {
	ID         int64
	RetryAfter time.Duration
}

// Fail is a final answer that promises nothing of the effect.
type Fail struct{ ID int64 }

// Cancel ends the wait on an attempt.
type Cancel struct {
	ID      int64
	Attempt int
}

// StartTimer asks for a TimerFired after In.
type StartTimer struct {
	In    time.Duration
	Token uint64
}

func (Fetch) action()      {}
func (Reject) action()     {}
func (Fail) action()       {}
func (Cancel) action()     {}
func (StartTimer) action() {}
