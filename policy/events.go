package policy

// Events are the inputs of a Router. This file holds types only; each event's apply method is in the file
// that handles it.

import "time"

// Event is one of Settings, EndpointUpdate, ClockCorrection, Request, Outcome, StreamStarted, Purge,
// RequestEnded and TimerFired.
type Event interface{ apply(r *Router) }

// State is the state of an endpoint in the endpoint list.
type State int

// The states of an endpoint.
const (
	Removed  State = iota // not listed, or listed as removed
	Draining              // takes no new attempts
	Ready
)

// Endpoint is one cache, parent or origin of the endpoint list.
type Endpoint struct {
	ID      string
	State   State
	Started time.Duration // time of its last start on the router's clock; 0: long ago
	Kind    int           // see Settings.ParentKind and OriginKind
	Zone    int
	Weight  float64 // see Settings.WeightsConfigured
	Cell    int     // see ScopeCell
}

// EndpointUpdate is the full endpoint list, or changes to it.
type EndpointUpdate struct {
	Full      bool // endpoints that are not named are removed
	Endpoints []Endpoint
}

// ClockCorrection says that all starts and purges reported so far happened later than reported, by Offset on
// the router's clock. A negative Offset means earlier.
type ClockCorrection struct{ Offset time.Duration }

// Request is a client's request that has arrived.
type Request struct {
	ID        int64
	Object    string
	Part      int           // of the object, from 0
	Group     int           // group of objects that are purged together
	Class     int           // index in Settings.Classes
	SizeKB    float64       // 0: unknown
	Remaining time.Duration // to the client's deadline
}

// Result says how an attempt ended.
type Result int

// The results of an attempt. An unknown value counts as ResultTimeout: the request may have run.
const (
	ResultError         Result = iota // an error response
	ResultOK                          // an answer
	ResultRejected                    // the target rejected it without processing it
	ResultTimeout                     // no answer in time
	ResultConnectFailed               // not executed: no connection, or the call was not written completely
	ResultReset                       // the connection broke while the attempt was in flight
	ResultCancelled                   // the proxy stopped waiting
	ResultNotSent                     // not executed, and not the target's fault
	ResultNotFound                    // the target has no copy and filled none
)

var resultNames = [...]string{
	"error", "ok", "rejected", "timeout", "connect_failed", "reset", "cancelled", "not_sent", "not_found",
}

// String returns the result's name in the log.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}

// CacheStatus is what a cache reports about an answer or a failed fill.
type CacheStatus int

// The values of a cache status.
const (
	CacheStatusNone           CacheStatus = iota // not reported
	CacheStatusHit                               // the target had a copy
	CacheStatusFilled                            // filled from the source's copy
	CacheStatusFilledByOrigin                    // filled, and the source had to ask the origin
	CacheStatusCoalesced                         // waited for a fill that was in progress
	CacheStatusStale                             // the target had a stale copy
	CacheStatusSourceRejected                    // the source rejected the fill
	CacheStatusSourceFailed                      // the source did not answer, or answered with an error
	CacheStatusSourceMiss                        // the source does not have the object
	CacheStatusNoFillCapacity                    // the target had no capacity for a fill
	CacheStatusOriginFailed                      // the origin failed behind the source
)

// Outcome reports how one attempt ended.
type Outcome struct {
	ID                   int64 // of the request
	Attempt              int   // number of the attempt, from 0
	Result               Result
	CacheStatus          CacheStatus
	Elapsed              time.Duration // from the start of the attempt to its end
	SourceFirstByte      time.Duration // the target's wait for the source's first byte; 0: unknown
	FullPaceTransferTime time.Duration // transfer time of the answer's bytes (transfertime.go); 0: unknown
	RequestFinished      bool          // the request is finished: no retry follows
}

// StreamStarted says that a streamed answer has started. The request is finished; the attempt continues.
type StreamStarted struct {
	ID      int64 // of the request
	Attempt int
}

// Purge says that an object was purged, or all objects of a group if Object is empty.
type Purge struct {
	Object string
	Group  int
	Age    time.Duration // since the purge
}

// RequestEnded says that the client of a request has disconnected, or that its deadline has passed. The
// request is finished.
type RequestEnded struct{ ID int64 }

// TimerFired says that a timer has expired.
type TimerFired struct{ Token uint64 }
