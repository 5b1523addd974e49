package policy

import "time"

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

func (Fetch) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (Cancel) action() {}

func (StartTimer) action() {}
