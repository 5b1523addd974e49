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
