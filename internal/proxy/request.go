// Package proxy passes client requests as events to the decision module, and carries out the module's actions,
// such as an attempt to get the answer from a cache. It keeps the state of requests and attempts, watches the
// coordinator and controls the phases of the program. The decision module is package policy: it decides which
// cache a request goes to, and what to do after the result.
package proxy

import (
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

// Request is a client's request, independent of the protocol. The fields that are forwarded to caches are
// kept as the client wrote them.
type Request struct {
	ID             string // the id that the client chose; forwarded
	Class          int    // index in the settings' classes
	ClassName      string
	Object         string
	Part           int
	Group          int
	SizeKB         float64       // size of the object, in the KB of policy.Settings.TransferKBPerSecond; 0: unknown
	KnownVersion   string        // version of the copy that the client holds; empty: none
	IdempotencyKey string        // lets caches recognize a repeated request; empty: none
	Timeout        time.Duration // the time that the client waits for the answer, counted from the request's last byte
	Body           []byte
}

// Status says how a request was answered.
type Status int

// The statuses of final answers.
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
	Version    string // version of the served copy
	Body       []byte
	RetryAfter time.Duration // of a rejection: how long the client should wait before a retry; 0: no advice
	Reason     policy.Reason // why the answer serves nothing; empty if it serves something
}

// DisconnectState says whether a client has disconnected.
type DisconnectState struct {
	Since     eventloop.Timestamp // the earliest time at which the client may have disconnected; 0: it is connected
	GraceOver bool                // the disconnect was so long ago that nothing may be started for the client any more
}

// Responder answers the client of one request. Its methods are called on the loop's goroutine and must not
// block.
type Responder interface {
	// Respond sends the final answer. It is called at most once.
	Respond(Answer)
	// PollClient reads what the client has sent since the turn of the event loop began, if the turn began long
	// ago. The client may have disconnected or aborted the request, which then ends before PollClient returns:
	// the caller must check the request's state again. It reports whether all has been read that the client sent some
	// time ago: otherwise the client may have disconnected long ago.
	PollClient() (caughtUp bool)
	// ClientDisconnected says whether the client has disconnected, as far as the input read so far shows.
	ClientDisconnected() DisconnectState
}
