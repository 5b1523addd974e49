package proxy

import (
	"errors"
	"log/slog"
	"slices"
	"testing"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
)

// recordedEvents is a watch handler that records what is delivered.
type recordedEvents struct {
	indices    []int64 // indices of all events, in the order of delivery
	late       []int64 // indices of the events that were delivered late
	unreadable int     // sum of the parts passed to countUnreadable
}

func (r *recordedEvents) applyEvent(ev watch.Event, _ eventloop.Timestamp) {
	r.indices = append(r.indices, ev.Index)
}

func (r *recordedEvents) applyLateEvent(ev watch.Event, _ func(string) bool) {
	r.indices = append(r.indices, ev.Index)
	r.late = append(r.late, ev.Index)
}

// has reports whether the event at index has been delivered.
func (r *recordedEvents) has(index int64) bool { return slices.Contains(r.indices, index) }

func (r *recordedEvents) countUnreadable(parts int) { r.unreadable += parts }

// TestEventOrder checks that events are delivered once and in order. A gap closes the stream the first time. The
// second time, the gap is skipped when an event after it arrives. Each skipped line may have been an event, so only
// more missing events than skipped lines make a gap.
func TestEventOrder(t *testing.T) {
	event := func(index int64) watch.Event { return watch.Event{Index: index, Purge: &watch.Purge{Object: "x"}} }
	heartbeat := func(index int64) watch.Event { return watch.Event{Index: index} }
	loop, err := eventloop.NewLoop(&manualClock{})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name       string
		lastGap    eventGap
		skipped    int64 // lines skipped before the event
		event      watch.Event
		isGap      bool
		delivered  []int64
		unreadable int
	}{
		{name: "next", event: event(6), delivered: []int64{6}},
		{name: "repeat", event: event(5)},
		{name: "heartbeat", event: heartbeat(5)},
		{name: "gap", event: event(7), isGap: true},
		{name: "gap before a heartbeat", event: heartbeat(6), isGap: true},
		{name: "another gap than before", lastGap: eventGap{5, 8}, event: event(7), isGap: true},
		{name: "repeated gap", lastGap: eventGap{5, 7}, event: event(7), delivered: []int64{7}, unreadable: 1},
		{name: "repeated gap before a heartbeat", lastGap: eventGap{5, 6}, event: heartbeat(6)},
		{name: "skipped line before an event", skipped: 1, event: event(7), delivered: []int64{7}},
		{name: "skipped line before a heartbeat", skipped: 1, event: heartbeat(6), delivered: []int64{6}},
		{name: "more missing than skipped lines", skipped: 1, event: event(8), isGap: true},
	} {
		handler := &recordedEvents{}
		w := &coordinatorWatch{handler: handler, loop: loop, log: slog.New(slog.DiscardHandler), lastIndex: 5, lastGap: c.lastGap}
		s := &watchStream{owner: w, skippedLines: c.skipped}
		if err := s.handleEvent(c.event); errors.Is(err, errEventGap) != c.isGap {
			t.Errorf("%s: error %v, want errEventGap for a gap only", c.name, err)
		}
		if !slices.Equal(handler.indices, c.delivered) || handler.unreadable != c.unreadable {
			t.Errorf("%s: delivered %v, %d parts unreadable", c.name, handler.indices, handler.unreadable)
		}
	}
}
