// Package watch is the codec of the coordinator's stream of events. It does no I/O.
//
// The proxy sends one line, "follow N", where N is the index of the last event that it has. The stream then
// carries every later event, one JSON object per line, and heartbeats, which are lines with only the index of
// the last event. The names on the wire are those of the coordinator's protocol, such as "evict" for a purge
// and "shard" for a group of objects; this package alone maps them to the terms that the rest of the program
// uses.
package watch

// States of an endpoint.
const (
	StateServing  = "SERVING"
	StateDraining = "DRAINING" // gets no new requests and finishes those in progress
	StateDeleted  = "DELETED"
)

// Endpoint is an entry of the endpoint list. An entry with an unknown state is decoded as deleted.
type Endpoint struct {
	ID            string  `json:"id"`
	Addr          string  `json:"addr"` // IP address and port
	Zone          string  `json:"zone"` // name of its location
	Kind          string  `json:"kind"` // name of its host type
	Cell          int     `json:"cell"` // group of servers that share deduplication state
	State         string  `json:"state"`
	Weight        float64 `json:"weight"`     // relative capacity
	StartedMillis int64   `json:"started_ms"` // Unix milliseconds of the server's last start; 0: it started long ago
}

// EndpointUpdate is the complete endpoint list, or changes to it.
type EndpointUpdate struct {
	Full      bool // Endpoints is the complete list
	Endpoints []Endpoint
}

// Purge is the removal of cached copies: of an object, of a group of objects if Object is empty, or of
// everything if Group is nil too. A purge that is malformed or has no target is decoded as a purge of everything.
type Purge struct {
	Object   string `json:"ref"`
	Group    *int   `json:"shard"`
	AtMillis int64  `json:"unix_ms"` // Unix milliseconds of the purge; 0: unknown
}

// Event is an event of the stream, or a heartbeat.
type Event struct {
	Index     int64           // index of the event; in a heartbeat, the index of the last event
	Endpoints *EndpointUpdate // nil: none
	Purge     *Purge          // nil: none

	// Unreadable counts the parts that could not be decoded. Requesting the event again would not help, as
	// the coordinator would send the same text.
	Unreadable int
}

// InitialState is the part of the configuration that holds events from before the start of the process.
type InitialState struct {
	Index  int64   `json:"index"` // of the last of these events
	Events []Event `json:"updates"`
}

// IsHeartbeat reports whether the event has nothing but an index.
func (e *Event) IsHeartbeat() bool { return e.Endpoints == nil && e.Purge == nil && e.Unreadable == 0 }
