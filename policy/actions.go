package policy

// Actions are the outputs of a Router. This file holds types only.

import "time"

// Action is one of Fetch, Reject, Fail, Cancel and StartTimer.
type Action interface{ action() }

// Fetch sends a request's next attempt to Target. The fields from RetentionRank on are fetch options, which
// tell Target how to serve it (fetchoptions.go); for an uncacheable request they are zero.
type Fetch struct {
	ID                   int64 // of the request
	Target               string
	Source               string        // fills a miss; Target itself if nothing is filled
	RetentionRank        int           // of the filled copy, see fetchoptions.go; 0: it is not cached
	MaxAge               time.Duration // maximum age of a copy; 0: the class's FreshFor
	PurgeAge             time.Duration // time since a recent purge: an older copy must not be used; 0: no such purge
	CoalesceFill         bool          // a miss may wait for a fill that is in progress
	SourceCachedOnly     bool          // the source answers only with what it has cached
	StaleWhileRevalidate bool          // a stale copy is served and refreshed in the background
}

// Reject is a final answer which says that sending the request again is harmless: the request was not carried
// out, or may be carried out again (idempotency.go).
type Reject struct {
	ID         int64         // of the request
	RetryAfter time.Duration // how long the client should wait
	Reason     Reason
}

// Fail is a final answer that does not say whether the request was carried out.
type Fail struct {
	ID     int64 // of the request
	Reason Reason
}

// Cancel ends a pending attempt. The caller still has to report its Outcome.
type Cancel struct {
	ID      int64 // of the request
	Attempt int
}

// StartTimer asks the caller to pass a TimerFired event with Token once the time In has passed.
type StartTimer struct {
	In    time.Duration
	Token uint64
}

func (Fetch) action()      {}
func (Reject) action()     {}
func (Fail) action()       {}
func (Cancel) action()     {}
func (StartTimer) action() {}
