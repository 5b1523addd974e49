// Package soak plays a fleet of edge proxies through troubles that are drawn by seed, on loopback, and checks the rules by what
// clients, caches and the coordinator saw: never by what a proxy says of itself. It knows the proxy as a program to start; the
// program under test is a test binary, which lets system calls fail.
package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
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

// History is all that was seen in one run.
type History struct {
	Limits       Limits
	Requests     []*Request
	Calls        []*Call
	Events       []*WatchEvent
	Starts       []ServerStart
	Incarnations []*Incarnation
	Withheld     map[int][][2]time.Duration // by proxy: spans in which the coordinator told it nothing

	mu       sync.Mutex
	start    time.Time
	timeline []Record
	lags     [][2]time.Duration // spans in which this process itself was held up
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

// NewHistory begins a history.
func NewHistory(limits Limits) *History {
	return &History{Limits: limits, Withheld: map[int][][2]time.Duration{}, start: time.Now()}
}

// Now is the time since the start.
func (h *History) Now() time.Duration { return time.Since(h.start) }

const (
	lagWatchers = 4
	lagStep     = 5 * time.Millisecond
	minLag      = 20 * time.Millisecond
)

// watchLag notes the spans in which this process is held up: what it records then is late.
func (h *History) watchLag(over <-chan struct{}) {
	for range lagWatchers {
		go func() {
			for {
				from := h.Now()
				select {
				case <-over:
					return
				case <-time.After(lagStep):
				}
				if to := h.Now(); to-from > minLag {
					h.locked(func() { h.lags = append(h.lags, [2]time.Duration{from, to}) })
				}
			}
		}()
	}
}

// slack is what a record between two moments may be late by: a fixed part, and for how long this process was held up.
func (h *History) slack(from, to time.Duration) time.Duration {
	sum := machineSlack
	for _, lag := range h.lags {
		if lag[1] > from && lag[0] < to {
			sum += lag[1] - lag[0]
		}
	}
	return sum
}

// Note adds a line to the timeline.
func (h *History) Note(who, format string, args ...any) {
	h.locked(func() {
		h.timeline = append(h.timeline, Record{At: h.Now(), Who: who, What: fmt.Sprintf(format, args...)})
	})
}

// locked changes what is shared by all who take part.
func (h *History) locked(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// TimelineAround returns the timeline around a violation: what names one of the given words within a span, and all troubles.
func (h *History) TimelineAround(at, span time.Duration, words ...string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b strings.Builder
	slices.SortStableFunc(h.timeline, func(a, b Record) int { return int(a.At - b.At) })
	for _, r := range h.timeline {
		named := r.Who == "trouble"
		for _, word := range words {
			named = named || word != "" && (strings.Contains(r.What, word) || r.Who == word)
		}
		if named && r.At > at-span && r.At < at+span {
			fmt.Fprintln(&b, r)
		}
	}
	return b.String()
}

// incarnation finds a process.
func (h *History) incarnation(proxy, number int) *Incarnation {
	for _, l := range h.Incarnations {
		if l.Proxy == proxy && l.Number == number {
			return l
		}
	}
	return nil
}

// whileRunning is when a process has run for a time since a moment: what it spends without its core does not count.
func (l *Incarnation) whileRunning(from, length time.Duration) time.Duration {
	return afterExcluding(l.Paused, from, length)
}

// afterExcluding is when a time has passed since a moment, where some spans do not count.
func afterExcluding(spans [][2]time.Duration, from, length time.Duration) time.Duration {
	spans = slices.SortedFunc(slices.Values(spans), func(a, b [2]time.Duration) int { return int(a[0] - b[0]) })
	end, counted := from+length, from
	for _, s := range spans {
		if begin := max(counted, s[0]); s[1] > begin && begin < end {
			end += s[1] - begin
			counted = s[1]
		}
	}
	return end
}
