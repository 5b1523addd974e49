// Package watch is the codec of the coordinator's stream: numbered events, one JSON object per line, and lines
// that hold only the last number. It touches no socket.
package watch

import (
	"errors"
	"fmt"
)

// MaxLine bounds one line; a whole list of a large fleet stays far under it.
const MaxLine = 1 << 20

// ErrLine says that a line is neither an event nor a number.
var ErrLine = errors.New("watch: malformed line")

// ErrTooLong says that a line exceeds MaxLine and has not ended yet.
var ErrTooLong = fmt.Errorf("%w: over %d bytes", ErrLine, MaxLine)

// Endpoint is one entry of the list. One whose State is none of the states below, also because its entry could not be read,
// must count as gone.
type Endpoint struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix millisecond of a late start, else 0
}

// States of a server.
const (
	StateServing  = "SERVING"
	StateDraining = "DRAINING"
	StateDeleted  = "DELETED"
)

// EndpointUpdate is the whole list, or changes to it.
type EndpointUpdate struct {
	Full      bool
	Endpoints []Endpoint
}

// Purge is a purge of one object, or of a group where Object is empty; of everything where Group is nil too, as what it
// names could not be read.
type Purge struct {
	Object string `json:"ref"`
	Group  *int   `json:"shard"`
	At     int64  `json:"unix_ms"` // Unix millisecond at which it took place; 0: not told
}

// Event is one numbered event; with neither part it only tells the last number.
type Event struct {
	Index     int64
	Endpoints *EndpointUpdate
	Purge     *Purge
	// Unreadable counts what could not be read in it. To ask for the event again would bring the same text.
	Unreadable int
}

// InitialState is what the configuration says of the events before the start.
type InitialState struct {
	Index  int64   `json:"index"`
	Events []Event `json:"updates"`
}

// IsHeartbeat reports whether the event carries nothing but the last number.
func (e *Event) IsHeartbeat() bool { return e.Endpoints == nil && e.Purge == nil && e.Unreadable == 0 }
