// Package feed is the codec of the coordinator's stream: numbered events, one JSON object per line, and lines
// that hold only the last number. It touches no socket.
package feed

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// MaxLine bounds one line; a whole list of a large fleet stays far under it.
const MaxLine = 1 << 20

// ErrLine says that a line is neither an event nor a number.
var ErrLine = errors.New("feed: malformed line")

// Server is one entry of the list.
type Server struct {
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
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Endpoints is the whole list, or changes to it.
type Endpoints struct {
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Evict is a purge of one object, or of a group where Object is empty.
type Evict struct {
	Object string `json:"ref"`
	Group  *int   `json:"shard"`
	At     int64  `json:"unix_ms"`
}

// Event is one numbered event; with neither part it only tells the last number.
type Event struct {
	Index     int64      `json:"index"`
	Endpoints *Endpoints `json:"endpoints"`
	Evict     *Evict     `json:"evict"`
}

// Known is what the configuration says of the events before the start.
type Known struct {
	Index   int64   `json:"index"`
	Updates []Event `json:"updates"`
}

// Tick reports whether the event carries nothing but the last number.
func (e *Event) Tick() bool { return e.Endpoints == nil && e.Evict == nil }

// Decode reads one line without its line feed.
func Decode(line []byte) (Event, error) {
	line = bytes.TrimSpace(line)
	if n, err := strconv.ParseInt(string(line), 10, 64); err == nil && n >= 0 {
		return Event{Index: n}, nil
	}
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return Event{}, fmt.Errorf("%w: %w", ErrLine, err)
	}
	return e, e.Check()
}

// Check says whether an event can be used.
func (e *Event) Check() error {
	if e.Index <= 0 {
		return fmt.Errorf("%w: no index", ErrLine)
	}
	if e.Endpoints != nil {
		for _, s := range e.Endpoints.Servers {
			if s.ID == "" || s.State != Serving && s.State != Draining && s.State != Deleted {
				return fmt.Errorf("%w: server %q in state %q", ErrLine, s.ID, s.State)
			}
		}
	}
	if v := e.Evict; v != nil && v.Object == "" && v.Group == nil {
		return fmt.Errorf("%w: purge of nothing", ErrLine)
	}
	return nil
}

// Next takes one line off data; used is 0 when none is whole.
func Next(data []byte) (used int, line []byte, err error) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 && len(data) > MaxLine {
		return 0, nil, fmt.Errorf("%w: over %d bytes", ErrLine, MaxLine)
	}
	if i < 0 {
		return 0, nil, nil
	}
	return i + 1, data[:i], nil
}

// Follow encodes the request for every event after last.
func Follow(last int64) []byte { return fmt.Appendf(nil, "follow %d\n", last) }
