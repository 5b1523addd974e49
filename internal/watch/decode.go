package watch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// Parts of an event on the wire.
const (
	partIndex     = "index"
	partEndpoints = "endpoints"
	partPurge     = "evict"
)

// Decode decodes a line, without its line feed. Its errors wrap ErrMalformed.
func Decode(line []byte) (Event, error) {
	line = bytes.TrimSpace(line)
	index, err := strconv.ParseInt(string(line), 10, 64)
	if err == nil && index >= 0 {
		return Event{Index: index}, nil
	}
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return Event{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return e, nil
}

// UnmarshalJSON decodes an event. A part that is malformed, or that this version does not know, must not hide
// the others: it is counted in Unreadable. Only an event that is not an object or has no index above 0 is an
// error. An event without any part counts as one unreadable part.
func (e *Event) UnmarshalJSON(encoded []byte) error {
	var indexOnly struct {
		Index int64 `json:"index"`
	}
	var parts map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(encoded, &indexOnly), json.Unmarshal(encoded, &parts)); err != nil {
		return err
	}
	if indexOnly.Index <= 0 {
		return fmt.Errorf("%w: no index", ErrMalformed)
	}
	*e = Event{Index: indexOnly.Index}
	for name, part := range parts {
		e.decodePart(name, part)
	}
	if e.IsHeartbeat() { // no part was found; a real heartbeat is a line with a number alone
		e.Unreadable++
	}
	return nil
}

// decodePart decodes one part of an event. Unknown parts count as unreadable, and null as no part.
func (e *Event) decodePart(name string, part json.RawMessage) {
	if string(part) == "null" {
		return
	}
	switch name {
	case partIndex:
		return // UnmarshalJSON has decoded it
	case partEndpoints:
		e.decodeEndpoints(part)
	case partPurge:
		e.decodePurge(part)
	default:
		e.Unreadable++
	}
}

// decodeEndpoints decodes an endpoint update. An entry without a readable ID is left out.
func (e *Event) decodeEndpoints(part json.RawMessage) {
	var update struct {
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if json.Unmarshal(part, &update) != nil {
		e.Unreadable++
		return
	}
	e.Endpoints = &EndpointUpdate{Full: update.Full}
	for _, entry := range update.Servers {
		endpoint, hasID := e.decodeEndpoint(entry)
		if hasID {
			e.Endpoints.Endpoints = append(e.Endpoints.Endpoints, endpoint)
		}
	}
}

// decodeEndpoint decodes an entry of the endpoint list. An entry that has an ID but is otherwise unreadable is
// decoded as deleted. hasID is false if the ID is unreadable too.
func (e *Event) decodeEndpoint(entry json.RawMessage) (endpoint Endpoint, hasID bool) {
	err := json.Unmarshal(entry, &endpoint)
	if err == nil && isKnownState(endpoint.State) && endpoint.ID != "" {
		return endpoint, true
	}
	e.Unreadable++
	var idOnly struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(entry, &idOnly) != nil || idOnly.ID == "" {
		return Endpoint{}, false
	}
	return Endpoint{ID: idOnly.ID, State: StateDeleted}, true
}

func isKnownState(state string) bool {
	return state == StateServing || state == StateDraining || state == StateDeleted
}

// decodePurge decodes a purge. A purge that is malformed or has no target becomes a purge of everything.
func (e *Event) decodePurge(part json.RawMessage) {
	var purge Purge
	err := json.Unmarshal(part, &purge)
	if err == nil && (purge.Object != "" || purge.Group != nil) {
		e.Purge = &purge
		return
	}
	e.Unreadable++
	e.Purge = &Purge{}
}
