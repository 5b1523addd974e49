package watch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

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
