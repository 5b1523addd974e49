package soak

import (
	"fmt"
	"time"
)

// Unless a comment says otherwise, a field of type time.Duration in this file is a point in time since the
// start of the run; 0 means that what the field records did not happen.

// TimelineEntry is one line of the timeline.
type TimelineEntry struct {
	At     time.Duration
	Source string
	Text   string
}

// String returns the entry as reports show it.
func (entry TimelineEntry) String() string {
	return fmt.Sprintf("%9.3f %-10s %s", entry.At.Seconds(), entry.Source, entry.Text)
}

// FinalAnswer holds a final answer as a client read it.
type FinalAnswer struct {
	At                 time.Duration
	Status             string // of the CGI response; empty if END_REQUEST came without output
	ProtocolOverloaded bool   // END_REQUEST has the protocol status OVERLOADED
	Body               string // the first bytes of the body, which start with the Serial of the call that served it
}

// Rejected reports whether the answer rejects the request, and so promises that the request is safe to send again.
func (a FinalAnswer) Rejected() bool {
	return a.ProtocolOverloaded || a.Status == "503" || a.Status == "429"
}

// Request holds a request as its client saw it.
type Request struct {
	ID, Class, Object string
	Group             int           // purge group of the object
	Proxy             int           // number of the proxy
	Incarnation       int           // number of the proxy's incarnation
	SentAt            time.Duration // when the last byte was written; 0: the request was not sent in full
	Timeout           time.Duration // how long the client waits for an answer
	ReadingTime       time.Duration // a length of time: how long the client may take to read the answers before its own
	CancelledAt       time.Duration // when the client aborted it or disconnected
	FirstOnConnection bool
	AnswerNotRequired bool          // the request may have raced with the proxy's close of an idle connection
	DisconnectedAt    time.Duration // when the connection ended without an answer
	Answers           []FinalAnswer
}

// Conn holds a client's connection to a proxy as its client saw it.
type Conn struct {
	Proxy, Incarnation int
	Habit              string // of its client; empty: a client that acts at random
	OpenedAt, EndedAt  time.Duration
	Requests           []*Request // in the order in which they were registered
}

// Drain is an operator's drain of a proxy.
type Drain struct {
	Proxy, Incarnation int
	OrderedAt          time.Duration // when the order to drain was sent
	ReadyAt            time.Duration // when the proxy was first found ready between the answer to that order and the end
	EndOrderedAt       time.Duration // when the order to end the drain was answered
	ReadyAgainAt       time.Duration // when the proxy was first found ready after that
}

// Call holds a call from a proxy as its server read it.
type Call struct {
	Server, ID, Class, Object string
	FillSource                string        // server to fill the cache from, named in the call; empty: none
	FirstByteAt, CompleteAt   time.Duration // when the first byte arrived and the last byte was read
	Timeout                   time.Duration // how much time the proxy gives the server
	MaxAge                    time.Duration // maximum age of a copy that may answer it; 0: no limit
	ReadLate                  bool          // the server hung shortly before it read the call, which may have been sent during the hang
	Executed                  bool          // the origin began to execute it; writes only
	Result                    string        // result word of the answer
	CopyMadeAt                time.Time     // when the origin produced the copy that was served; zero: none
	Serial                    int           // identifies the call in the answer's body
}

// processID identifies a process: an incarnation of a proxy.
type processID struct{ proxy, incarnation int }

// WatchEvent is an event that the coordinator publishes.
type WatchEvent struct {
	Index        int
	PublishedAt  time.Duration
	DeliveredAt  map[processID]time.Duration // when the event's line had been written to a process
	Withdrawn    []string                    // servers that the event announces as draining, removed or in an unknown state
	Serving      []string                    // servers that the event announces as serving
	PurgedObject string                      // empty: none
	PurgedGroup  int                         // -1: none
	PurgedBefore time.Time                   // copies made before this time are purged; zero: no purge
}

// noGroup is the PurgedGroup of an event that purges no group.
const noGroup = -1

// ServerStart is the start of a server during the run.
type ServerStart struct {
	Server     string
	At         time.Duration
	EventIndex int // index of the event that announces the start
}

// Incarnation is one process of a proxy, from its start to its exit.
type Incarnation struct {
	Proxy, Number    int
	StartedAt        time.Duration
	ReadyAt          time.Duration
	SigtermAt        time.Duration
	KilledAt         time.Duration
	ExitedAt         time.Duration
	Paused           []Span // spans in which it was stopped by SIGSTOP
	ConfigEventIndex int    // index of the last event in its configuration at the start
	ExitError        string
	PeakMemoryKB     int
	PeakDescriptors  int
}

// afterRunningFor returns the moment at which the process has run for length since from, not counting the time
// in which it was paused.
func (inc *Incarnation) afterRunningFor(from, length time.Duration) time.Duration {
	return afterExcluding(inc.Paused, from, length)
}

// Limits holds the limits that the proxies' configuration and the rules set.
type Limits struct {
	MemoryKB, Descriptors int           // per proxy
	DrainGrace            time.Duration // time after the notification for which a draining server may still get calls
	PurgeGrace            time.Duration // time after the notification for which a purged copy may still be served
	OverloadMultiple      float64       // multiple of its capacity above which a server is overloaded
	SlowStartCapacity     float64       // fraction of its capacity that a server has when it starts
	LinkTransfers         float64       // concurrent transfers that a cache's link carries
	TransferTime          time.Duration // time that the transfer of one object takes
	OverloadWindow        time.Duration // window in which calls are counted against the capacity
	SlowStartDuration     time.Duration
	MaxDeadline           time.Duration // longest time that a proxy gives a request
	DeduplicationWindow   time.Duration // how long servers remember an idempotency key
}
