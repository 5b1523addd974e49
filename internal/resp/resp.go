// Package resp is the codec of the upstream side: commands to and answers from caches, parents and the
// origin, as RESP arrays of bulk strings. It touches no socket.
package resp

import (
	"errors"
)

// Limits of one answer. An object holds 240,000 bytes at most.
const (
	maxID      = 64
	maxWord    = 32
	maxFields  = 4 << 10
	maxBody    = 256 << 10
	maxDigits  = 7 // of a length
	answerSize = 4 // elements of an answer
)

// ErrMalformed says that a peer's bytes are no answer; its connection cannot be used any further.
var ErrMalformed = errors.New("resp: malformed answer")

// Status is how an answer ended.
type Status int

// The words of an answer.
const (
	StatusServed Status = iota + 1
	StatusNotModified
	StatusNotFound
	StatusOverloaded
	StatusCrashed
	StatusNotRun
)

var words = map[string]Status{
	"served": StatusServed, "still_good": StatusNotModified, "not_here": StatusNotFound,
	"overload": StatusOverloaded, "crashed": StatusCrashed, "nobody": StatusNotRun,
}

// CacheStatus tells how an answer was had or why a fill failed, numbered as the simulator numbers them; 0: none.
type CacheStatus int

var notes = map[string]CacheStatus{
	"TCP_HIT": 1, "TCP_MISS": 2, "TCP_MISS_ROOT": 3, "TCP_JOIN": 4, "TCP_STALE": 5,
	"PEER_DENY": 6, "PEER_DEAD": 7, "PEER_MISS": 8, "FILL_FULL": 9, "ROOT_FAIL": 10,
}
