// Package proxy turns client requests into events of the decision module and the module's actions into
// attempts at caches. It owns the life of requests and attempts, the coordinator's stream and the phases of
// the program; which cache is asked, and what follows, is decided in package policy.
package proxy

import (
	"time"

	"cloverdoor/internal/eventloop"
)

// Request is a client's request, whatever protocol brought it. What passes on to a cache is kept as it came.
type Request struct {
	ID             string // the client's own, passed on
	Class          int    // index among the settings' classes
	ClassName      string // of the class
	Object         string
	Part           int
	Group          int
	SizeKB         float64       // size of the object, by the settings' measure; 0: not told
	KnownVersion   string        // tag of the copy that the client holds; empty: none
	IdempotencyKey string        // idempotency key, by which caches know a repeat; empty: none
	Timeout        time.Duration // how long the client waits, from its last byte
	Body           []byte
}

// Status is how a request ended.
type Status int

// The final answers.
const (
	Served      Status = iota
	NotModified        // served: the client's copy is the one
	Rejected           // not done; trying again is harmless
	Overloaded         // refused before the module heard of it
	Failed
)

// Answer is the final answer to a request.
type Answer struct {
	Status     Status
	Version    string // of the copy served
	Body       []byte
	RetryAfter time.Duration // with a refusal: how long the client should stay away; 0: no advice
}

// Responder takes the one final answer to a request back to its client.
type Responder interface {
	Respond(Answer)
	// PollClient reads what has come from the client since the turn began, if that is long ago. It may bring the request's end.
	PollClient()
	// ClientDisconnected tells since when the client may have left, 0 while it is there, and whether that is so long ago that nothing may
	// begin for it any more.
	ClientDisconnected() (since eventloop.Timestamp, long bool)
}
