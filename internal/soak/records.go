package soak

import (
	"fmt"
	"time"
)

// All times of type time.Duration in records count from the start of the run, unless the comment says
// otherwise; 0 says that it did not happen.

// TimelineEntry is one line of the timeline.
type TimelineEntry struct {
	At     time.Duration
	Source string
	Text   string
}

// String is the record as reports show it.
func (entry TimelineEntry) String() string {
	return fmt.Sprintf("%9.3f %-10s %s", entry.At.Seconds(), entry.Source, entry.Text)
}

// FinalAnswer is a final answer as a client read it.
type FinalAnswer struct {
	At                 time.Duration
	Status             string // of the CGI response; empty: END_REQUEST without output
	ProtocolOverloaded bool   // END_REQUEST has the status OVERLOADED
	Body               string // its first bytes, which name the call that served it
}

// Rejected reports whether the answer promises that sending the request again is harmless.
func (a FinalAnswer) Rejected() bool {
	return a.ProtocolOverloaded || a.Status == "503" || a.Status == "429"
}

// Request is a request as its client knows it.
type Request struct {
	ID, Class, Object string
	Group             int // of the object, for purges
	Proxy             int
	Incarnation       int           // of the proxy
	SentAt            time.Duration // when its last byte was written; 0: not all of it was
	Timeout           time.Duration // the length of time that its client waits for an answer
	CancelledAt       time.Duration // when its client aborted it or disconnected
	FirstOnConnection bool
	AnswerNotRequired bool          // its connection was closed for being idle while it was on its way
	DisconnectedAt    time.Duration // when its connection ended without an answer
	Answers           []FinalAnswer
}

// Call is a call as its server read it.
type Call struct {
	Server, ID, Class, Object string
	FillSource                string        // the server that it names to fill from; empty: none
	FirstByteAt, CompleteAt   time.Duration // when its first and its last byte were read
	Timeout                   time.Duration // the length of time that the proxy gives the server
	MaxAge                    time.Duration // of a copy that may answer it; 0: any
	ReadLate                  bool          // its server did not read just before: it may have been sent earlier
	Executed                  bool          // executed, of a write
	Result                    string        // of the answer
	CopyMadeAt                time.Time     // when the origin gave out the copy that was served; zero: none
	Serial                    int           // names the call in the answer's body
}

// WatchEvent is an event of the coordinator.
type WatchEvent struct {
	Index        int
	PublishedAt  time.Duration
	DeliveredAt  map[int]time.Duration // by proxy: when its line had been written
	Withdrawn    []string              // servers that are draining or removed
	Serving      []string              // servers that are serving
	PurgedObject string                // empty: none
	PurgedGroup  int                   // -1: none
	PurgedBefore time.Time             // copies made before it are purged; zero: no purge
}

// noGroup is the purged group of an event that purges none.
const noGroup = -1

// ServerStart is the start of a server during the run.
type ServerStart struct {
	Server     string
	At         time.Duration
	EventIndex int // of the event that announces it
}

// Incarnation is one process of a proxy, from its start to its exit.
type Incarnation struct {
	Proxy, Number    int
	StartedAt        time.Duration
	ReadyAt          time.Duration
	SigtermAt        time.Duration
	KilledAt         time.Duration
	ExitedAt         time.Duration
	Paused           []Span // in which it was stopped by SIGSTOP
	ConfigEventIndex int    // the index of the last event in its configuration
	ExitError        string
	PeakMemoryKB     int
	PeakDescriptors  int
}

// afterRunningFor returns when the process has run for a length of time after a moment.
func (inc *Incarnation) afterRunningFor(from, length time.Duration) time.Duration {
	return afterExcluding(inc.Paused, from, length)
}

// Limits are the values that the proxies' configuration and the rules set.
type Limits struct {
	MemoryKB, Descriptors int           // of one proxy
	DrainGrace            time.Duration // after a notice, in which a server that drains may still get calls
	PurgeGrace            time.Duration // after a notice, in which a purged copy may still be served
	OverloadMultiple      float64       // of a server's capacity, above which it is overloaded
	SlowStartCapacity     float64       // the fraction of its capacity that a server has when it starts
	LinkTransfers         float64       // transfers that a cache's link carries at a time
	TransferTime          time.Duration // of one object
	OverloadWindow        time.Duration // in which calls are counted against the capacity
	SlowStartDuration     time.Duration
	MaxDeadline           time.Duration // the longest time that a proxy gives a request
	DeduplicationWindow   time.Duration // for which servers know an idempotency key
}
