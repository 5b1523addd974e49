package soak

import (
	"fmt"
	"time"
)

// Record is one line of the timeline.
type Record struct {
	At   time.Duration // since the start
	Who  string
	What string
}

// String is the record as it is kept in a file.
func (r Record) String() string {
	return fmt.Sprintf("%9.3f %-10s %s", r.At.Seconds(), r.Who, r.What)
}

// FinalAnswer is one final answer, as a client read it.
type FinalAnswer struct {
	At                 time.Duration
	Status             string // of the CGI response; empty: END_REQUEST alone
	ProtocolOverloaded bool   // the protocol's own refusal
	Body               string // its first bytes, which name the call that served it
}

// Rejected says that the answer promises that nothing ran.
func (a FinalAnswer) Rejected() bool {
	return a.ProtocolOverloaded || a.Status == "503" || a.Status == "429"
}

// Request is one request, as its client knows it.
type Request struct {
	ID, Class, Object  string
	Group              int
	Proxy, Incarnation int
	SentAt             time.Duration // when its last byte was written; 0: it was not written whole
	Timeout            time.Duration
	CanceledAt         time.Duration // when its client closed or took it back; 0: it did not
	FirstOnConnection  bool
	NoAnswerOwed       bool          // nothing is owed: it can't be read, or crossed the close of an idle connection
	DisconnectedAt     time.Duration // when its connection ended without an answer; 0: it did not
	Answers            []FinalAnswer
}

// Call is one call, as its server read it.
type Call struct {
	Server, ID, Class, Object, Source string
	FirstByteAt, CompleteAt           time.Duration // when its first byte and its last were read
	Timeout, MaxAge                   time.Duration
	ReadLate                          bool // its server did not read just before: it may have been sent earlier
	Ran                               bool
	Result                            string
	CopyMadeAt                        time.Time // of the copy that was served
	Serial                            int       // names the call in the answer's body
}

// WatchEvent is an event of the coordinator.
type WatchEvent struct {
	Index        int
	PublishedAt  time.Duration         // when the coordinator had it
	DeliveredAt  map[int]time.Duration // when its line had been written to each proxy
	Withdrawn    []string              // servers that it says drain or are gone
	Serving      []string              // servers that it says serve
	PurgedObject string                // that it purges
	PurgedGroup  int                   // that it purges; -1: none
	PurgedBefore time.Time             // of the purge
}

// ServerStart is a late start of a server.
type ServerStart struct {
	Server     string
	At         time.Duration
	EventIndex int // of the event that tells it
}

// Incarnation is one process, from its start to its end.
type Incarnation struct {
	Proxy, Number                 int
	StartedAt, ReadyAt, SigtermAt time.Duration // 0: not
	KilledAt, ExitedAt            time.Duration
	Paused                        [][2]time.Duration // spans without its core
	KnownEvents                   int                // the last event in its configuration
	ExitError                     string
	PeakMemoryKB                  int
	PeakDescriptors               int
}

// whileRunning is when a process has run for a time since a moment: what it spends without its core does not count.
func (l *Incarnation) whileRunning(from, length time.Duration) time.Duration {
	return afterExcluding(l.Paused, from, length)
}

// Limits are the figures that the configuration tells the proxies.
type Limits struct {
	MemoryKB, Descriptors               int
	DrainGrace, PurgeGrace              time.Duration
	ClearedWithin                       time.Duration
	OverloadMultiple, SlowStartCapacity float64 // of the cold budget
	LinkTransfers                       float64 // transfers that a cache's link carries
	TransferTime                        time.Duration
	OverloadWindow, SlowStartDuration   time.Duration
	MaxDeadline                         time.Duration
	DeduplicationWindow                 time.Duration // for which a key is known
}
