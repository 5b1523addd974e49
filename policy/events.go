package policy

import "time"

// Event is one thing the router is told: Settings, MemberList, Request, Outcome, StreamStarted, Purge,
// ClientGone, TimerFired or ClockCorrection. Each is applied in the file of the decisions that it leads to.
type Event interface{ apply(r *Router) }

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

// EndpointUpdate brings the whole list, or changes to it.
type EndpointUpdate struct {
	Full      bool
	Endpoints []Endpoint
}

// ClockCorrection says that the clock times of starts and purges that were told so far were off: each is
// later by By.
// A purge is never moved to earlier, also where By is under 0: it must not count as older than it is.
type ClockCorrection struct{ Offset time.Duration }

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
