// Package soak runs a fleet of edge proxies on loopback while it injects faults drawn from a seed, then checks
// the history of the run against a set of rules. The checks rely only on what clients, servers and the
// coordinator observed, never on what a proxy reports about itself. Each proxy is a separate process, started
// from a test binary that can also make system calls fail.
package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// History holds everything that clients, servers and the coordinator observed in one run.
type History struct {
	Limits       Limits
	Requests     []*Request
	Calls        []*Call
	Events       []*WatchEvent
	Starts       []ServerStart
	Incarnations []*Incarnation
	Conns        []*Conn
	Drains       []*Drain
	Withheld     map[int][]Span // by proxy number: spans in which the coordinator sent the proxy no events

	mu               sync.Mutex // guards the fields above while the run lasts, and those below
	start            time.Time
	timeline         []TimelineEntry
	schedulingDelays []Span // spans in which this process was not scheduled in time
}

// NewHistory returns an empty history whose clock starts now.
func NewHistory(limits Limits) *History {
	return &History{Limits: limits, Withheld: map[int][]Span{}, start: time.Now()}
}

// Now returns the time since the start of the run.
func (h *History) Now() time.Duration { return time.Since(h.start) }

const (
	delayProbeCount    = 4 // number of goroutines that detect delays: a delay may affect only some threads
	delayProbeInterval = 5 * time.Millisecond
	minSchedulingDelay = 20 * time.Millisecond // a sleep of delayProbeInterval that takes longer is recorded
)

// recordSchedulingDelays records the spans in which this process was not scheduled in time, until ended is
// closed. Whatever the process observes in such a span is recorded late.
func (h *History) recordSchedulingDelays(ended <-chan struct{}) {
	for range delayProbeCount {
		go func() {
			for {
				from := h.Now()
				select {
				case <-ended:
					return
				case <-time.After(delayProbeInterval):
				}
				to := h.Now()
				if to-from > minSchedulingDelay {
					h.withLock(func() { h.schedulingDelays = append(h.schedulingDelays, Span{from, to}) })
				}
			}
		}()
	}
}

// observationSlack returns the delay allowed for an observation between two moments: machineSlack plus all
// scheduling delays that overlap the interval. The caller holds mu.
func (h *History) observationSlack(from, to time.Duration) time.Duration {
	slack := machineSlack
	for _, delay := range h.schedulingDelays {
		if delay.overlaps(from, to) {
			slack += delay.To - delay.From
		}
	}
	return slack
}

// Logf adds a formatted entry to the timeline.
func (h *History) Logf(source, format string, args ...any) {
	h.withLock(func() {
		h.timeline = append(h.timeline, TimelineEntry{At: h.Now(), Source: source, Text: fmt.Sprintf(format, args...)})
	})
}

// withLock calls change while it holds mu.
func (h *History) withLock(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// faultSource is the source of the timeline's entries about injected faults.
const faultSource = "fault"

// TimelineAround returns the timeline's entries within a distance of a moment that mention one of the
// keywords, and all entries about faults in that time.
func (h *History) TimelineAround(at, distance time.Duration, keywords ...string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.timeline, func(a, b TimelineEntry) int { return cmp.Compare(a.At, b.At) })
	var b strings.Builder
	for _, entry := range h.timeline {
		isNear := entry.At > at-distance && entry.At < at+distance
		if isNear && (entry.Source == faultSource || entry.mentions(keywords)) {
			fmt.Fprintln(&b, entry)
		}
	}
	return b.String()
}

// mentions reports whether the entry's source is one of the keywords or its text contains one. Empty keywords
// match nothing.
func (entry TimelineEntry) mentions(keywords []string) bool {
	return slices.ContainsFunc(keywords, func(keyword string) bool {
		return keyword != "" && (strings.Contains(entry.Text, keyword) || entry.Source == keyword)
	})
}

// incarnation returns an incarnation of a proxy, or nil if there is none.
func (h *History) incarnation(proxy, number int) *Incarnation {
	for _, inc := range h.Incarnations {
		if inc.Proxy == proxy && inc.Number == number {
			return inc
		}
	}
	return nil
}
