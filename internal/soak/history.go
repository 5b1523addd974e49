// Package soak runs a fleet of edge proxies on loopback under faults that a seed draws, and checks the rules
// by what clients, servers and the coordinator observed, never by what a proxy says of itself. It starts the
// proxy as a program: a test binary that can also make system calls fail.
package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// History is all that was observed in one run.
type History struct {
	Limits       Limits
	Requests     []*Request
	Calls        []*Call
	Events       []*WatchEvent
	Starts       []ServerStart
	Incarnations []*Incarnation
	Withheld     map[int][]Span // by proxy: when the coordinator sent it no events

	mu               sync.Mutex // of the fields above while the run lasts, and of those below
	start            time.Time
	timeline         []TimelineEntry
	schedulingDelays []Span // when this process was not scheduled in time
}

// NewHistory begins a history.
func NewHistory(limits Limits) *History {
	return &History{Limits: limits, Withheld: map[int][]Span{}, start: time.Now()}
}

// Now is the time since the start.
func (h *History) Now() time.Duration { return time.Since(h.start) }

const (
	delayProbes        = 4 // goroutines, as a lag may hold up some threads alone
	delayProbeInterval = 5 * time.Millisecond
	minSchedulingDelay = 20 * time.Millisecond
)

// recordSchedulingDelays records until over is closed when this process was not scheduled in time: what it observes then is
// late.
func (h *History) recordSchedulingDelays(over <-chan struct{}) {
	for range delayProbes {
		go func() {
			for {
				from := h.Now()
				select {
				case <-over:
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

// observationSlack is the delay that observations between two moments may have: a fixed part, and all lags between them.
// The caller holds mu.
func (h *History) observationSlack(from, to time.Duration) time.Duration {
	sum := machineSlack
	for _, lag := range h.schedulingDelays {
		if lag.overlaps(from, to) {
			sum += lag.To - lag.From
		}
	}
	return sum
}

// Logf adds a line to the timeline.
func (h *History) Logf(source, format string, args ...any) {
	h.withLock(func() {
		h.timeline = append(h.timeline, TimelineEntry{At: h.Now(), Source: source, Text: fmt.Sprintf(format, args...)})
	})
}

// withLock runs a change of the history under its lock.
func (h *History) withLock(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// faultSource is who the timeline names for a fault.
const faultSource = "fault"

// TimelineAround returns the lines of the timeline within a distance of a moment that contain one of the
// given words, and all faults.
func (h *History) TimelineAround(at, distance time.Duration, keywords ...string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.timeline, func(a, b TimelineEntry) int { return cmp.Compare(a.At, b.At) })
	var b strings.Builder
	for _, entry := range h.timeline {
		near := entry.At > at-distance && entry.At < at+distance
		if near && (entry.Source == faultSource || entry.mentions(keywords)) {
			fmt.Fprintln(&b, entry)
		}
	}
	return b.String()
}

// mentions reports whether the record is by or about one of the given words. Empty words name nothing.
func (entry TimelineEntry) mentions(keywords []string) bool {
	return slices.ContainsFunc(keywords, func(keyword string) bool {
		return keyword != "" && (strings.Contains(entry.Text, keyword) || entry.Source == keyword)
	})
}

// incarnation finds a process; nil: there is none.
func (h *History) incarnation(proxy, number int) *Incarnation {
	for _, inc := range h.Incarnations {
		if inc.Proxy == proxy && inc.Number == number {
			return inc
		}
	}
	return nil
}
