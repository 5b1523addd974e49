// Package proxy turns client requests into events of the decision module, and the module's actions into
// attempts at caches. It holds requests and attempts, the watch of the coordinator and the phases of the
// program. Which cache a request goes to, and what follows from the result, is decided in package policy.
package proxy

import (
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

// Request is a client's request, whatever protocol it came by. The fields that are forwarded keep the
// client's spelling.
type Request struct {
	ID             string // the client's own id, forwarded
	Class          int    // index in the settings' classes
	ClassName      string
	Object         string
	Part           int
	Group          int
	SizeKB         float64       // size of the object as the settings measure it; 0: not known
	KnownVersion   string        // version of the copy that the client holds; empty: none
	IdempotencyKey string        // by which caches recognize a repeated request; empty: none
	Timeout        time.Duration // how long the client waits, counted from the request's last byte
	Body           []byte
}

// Status is how a request ended.
type Status int

// The final answers.
const (
	Served      Status = iota
	NotModified        // served: the client's copy is current
	Rejected           // a retry is safe: not executed, or may be executed again
	Overloaded         // rejected at a limit of the process; answered by END_REQUEST alone
	Failed             // may or may not have been executed
)

// Answer is the final answer to a request.
type Answer struct {
	Status     Status
	Version    string // of the copy served
	Body       []byte
	RetryAfter time.Duration // of a rejection: how long the client should not retry; 0: not said
	Reason     policy.Reason // of an answer that serves nothing
}

// Disconnect says whether a client has disconnected.
type Disconnect struct {
	Since     eventloop.Timestamp // the earliest time at which it may have happened; 0: the client is connected
	GraceOver bool                // so long ago that nothing may begin for the client any more
}

// Responder is the way back to the client of one request. Its methods are called on the loop's goroutine and
// don't block.
type Responder interface {
	// Respond gives the final answer. It is called at most once.
	Respond(Answer)
	// PollClient reads what the client has sent since the turn began, if that is long ago. It may end the
	// request before it returns, as the client may have disconnected or aborted it: the caller must look at
	// the request's state again.
	PollClient()
	// ClientDisconnected says whether the client has disconnected, as far as its input has been read.
	ClientDisconnected() Disconnect
}
