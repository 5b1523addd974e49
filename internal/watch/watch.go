// Package watch is the codec of the coordinator's stream: numbered events, one JSON object per line, and lines
// that hold only the last number. It touches no socket.
package watch

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
	return e, nil
}

// UnmarshalJSON reads an event as far as it can be read: one part that this version does not know hides nothing of the
// rest. Only a text without a number of its own is an error.
func (e *Event) UnmarshalJSON(text []byte) error {
	var number struct {
		Index int64 `json:"index"`
	}
	var parts map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(text, &number), json.Unmarshal(text, &parts)); err != nil {
		return err
	}
	if number.Index <= 0 {
		return fmt.Errorf("%w: no index", ErrLine)
	}
	*e = Event{Index: number.Index}
	for name, part := range parts {
		e.read(name, part)
	}
	return nil
}

// read takes one part of an event. A part that this version does not know makes it an event all the same.
func (e *Event) read(name string, part json.RawMessage) {
	if string(part) == "null" {
		return
	}
	switch name {
	case "index":
	case "endpoints":
		e.readEndpoints(part)
	case "evict":
		e.readEvict(part)
	default:
		e.Unreadable++
	}
}

func (e *Event) readEndpoints(text json.RawMessage) {
	var raw struct {
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if json.Unmarshal(text, &raw) != nil {
		e.Unreadable++
		return
	}
	e.Endpoints = &EndpointUpdate{Full: raw.Full}
	for _, entry := range raw.Servers {
		if server, ok := e.readServer(entry); ok {
			e.Endpoints.Endpoints = append(e.Endpoints.Endpoints, server)
		}
	}
}

// readServer reads one entry. One that names a server and can't be read in full counts as gone.
func (e *Event) readServer(text json.RawMessage) (server Endpoint, named bool) {
	err := json.Unmarshal(text, &server)
	known := server.State == StateServing || server.State == StateDraining || server.State == StateDeleted
	if err == nil && known && server.ID != "" {
		return server, true
	}
	e.Unreadable++
	var name struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(text, &name) != nil || name.ID == "" {
		return Endpoint{}, false
	}
	return Endpoint{ID: name.ID, State: StateDeleted}, true
}

func (e *Event) readEvict(text json.RawMessage) {
	e.Purge = &Purge{}
	if json.Unmarshal(text, e.Purge) == nil && (e.Purge.Object != "" || e.Purge.Group != nil) {
		return
	}
	e.Unreadable++
	*e.Purge = Purge{}
}

// NextLine takes one line off data; used is 0 when none is whole.
func NextLine(data []byte) (used int, line []byte, err error) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 && len(data) > MaxLine {
		return 0, nil, ErrTooLong
	}
	if i < 0 {
		return 0, nil, nil
	}
	return i + 1, data[:i], nil
}

// AppendFollow encodes the request for every event after last.
func AppendFollow(last int64) []byte { return fmt.Appendf(nil, "follow %d\n", last) }
