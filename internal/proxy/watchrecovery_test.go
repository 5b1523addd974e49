package proxy

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// followedIndices returns the index in each stream's follow line: the stream carries the events after it.
func (h *watchHarness) followedIndices() []int {
	var from []int
	for _, s := range h.streams {
		from = append(from, s.from)
	}
	return from
}

// TestCorruptEventIsRecovered guards against a drain that is lost for good because its line, in the middle of the
// input, was corrupt once. The events that follow must be delivered at once, and the corrupt one must be requested
// again, often enough to recover from three bad lines in a row.
func TestCorruptEventIsRecovered(t *testing.T) {
	corrupt := func(line string) string { return line[:len(line)/2] + line + "\n" }
	for _, c := range []struct {
		name        string
		corruptLine func(stream int) string // text sent in place of event 2 on a stream; empty: the event's line
		late        time.Duration           // longest allowed time from publication to delivery of event 2
	}{
		{"corrupt once", func(stream int) string {
			if stream == 0 {
				return corrupt(`{"index":2,"x":1}`)
			}
			return ""
		}, time.Second},
		{"corrupt in three different ways", func(stream int) string {
			if stream < 3 {
				return strings.Repeat("{", stream+1) + "broken\n"
			}
			return ""
		}, maxEventDelay},
		{"corrupt in the same way three times", func(stream int) string {
			if stream < 3 {
				return "{broken\n"
			}
			return ""
		}, maxEventDelay},
		{"missing three times", func(stream int) string {
			if stream < 3 {
				return " " // no line: the blank only precedes the next event's line
			}
			return ""
		}, maxEventDelay},
	} {
		h := newWatchHarness(t, func(stream int) streamScript {
			line := c.corruptLine(stream)
			if line == "" {
				return sendAll
			}
			return replaceEventLine(2, line)
		})
		h.run(2 * time.Second)
		published := h.clock.now
		h.publish(drainEvent)
		h.publish(drainEvent)
		h.publish(drainEvent)
		h.runUntil(4, maxEventDelay)
		if h.delivered.has(2) || !h.delivered.has(4) {
			t.Errorf("%s: delivered up to event 4: %v, want event 4 without event 2", c.name, h.delivered.indices)
		}
		h.runUntil(2, time.Minute)
		if took := h.clock.now - published; took > c.late {
			t.Errorf("%s: the event was delivered after %v", c.name, took)
		}
		h.run(30 * time.Second)
		if got := fmt.Sprint(h.delivered.indices, h.delivered.late); got != "[3 4 2] [2]" {
			t.Errorf("%s: delivered: %s, want [3 4 2] [2]", c.name, got)
		}
		if last := h.followedIndices()[len(h.streams)-1]; last != 1 {
			t.Errorf("%s: the streams followed from %v", c.name, h.followedIndices())
		}
		h.close()
	}
}

// TestUnreadableEventIsGivenUp guards against endless requests for an event that can never be read. It must be given
// up after maxRequestsForMissing requests, and the events that follow must be delivered as they arrive.
func TestUnreadableEventIsGivenUp(t *testing.T) {
	h := newWatchHarness(t, func(int) streamScript { return replaceEventLine(2, "{broken\n") })
	h.run(2 * time.Second)
	h.publish(drainEvent)
	h.publish(drainEvent)
	h.run(time.Minute)
	if streams := len(h.streams); streams != 1+maxRequestsForMissing {
		t.Errorf("the streams followed from %v", h.followedIndices())
	}
	if !h.watch.missing.isEmpty() || len(h.watch.streams) != 1 {
		t.Errorf("missing: %v, want none; %d streams, want 1", h.watch.missing.requests, len(h.watch.streams))
	}
	h.publish(drainEvent)
	if took := h.runUntil(4, time.Minute); took > 2*harnessStep {
		t.Errorf("the next event was delivered after %v", took)
	}
}

// TestMissingEventIsRecoveredThoughStreamsFail checks that a missing event and newer events are all delivered within
// maxEventDelay although the next two streams fail. It guards against two faults: the missing event is never
// delivered, or it delays the newer ones.
func TestMissingEventIsRecoveredThoughStreamsFail(t *testing.T) {
	for name, brokenScript := range failureScripts() {
		h := newWatchHarness(t, func(stream int) streamScript {
			switch stream {
			case 0:
				return replaceEventLine(2, "{broken\n")
			case 1, 2:
				return brokenScript()
			}
			return sendAll
		})
		h.run(2 * time.Second)
		published := h.clock.now
		h.publish(drainEvent)
		h.publish(drainEvent)
		h.run(700 * time.Millisecond) // the second stream is open
		h.publish(drainEvent)
		h.runUntil(4, time.Minute)
		h.runUntil(2, time.Minute)
		if took := h.clock.now - published; took >= maxEventDelay {
			t.Errorf("%s: all events were delivered after %v", name, took)
		}
		h.close()
	}
}

// recordedTable is an endpoint table with one kind and one zone that records the states passed to the decision module.
type recordedTable struct {
	endpointTable
	states map[string]policy.State // as notified, by endpoint id
}

func newRecordedTable(t *testing.T) *recordedTable {
	t.Helper()
	table := &recordedTable{states: map[string]policy.State{}}
	table.endpointTable = endpointTable{
		log: slog.New(slog.DiscardHandler), clock: newClockTest(t, 0).p.clock, pools: &recordedPools{},
		kinds: []string{"std"}, zones: []string{"edge"}, startMillis: map[string]int64{},
	}
	table.notify = func(ev policy.Event) {
		update := ev.(policy.EndpointUpdate)
		if update.Full {
			clear(table.states)
		}
		for _, endpoint := range update.Endpoints {
			table.states[endpoint.ID] = endpoint.State
		}
	}
	return table
}

// TestLateEventKeepsNewerState guards against a late event that undoes a newer one. Whichever event of a series is
// late, the endpoints must end in the states that they have when the events arrive in order.
func TestLateEventKeepsNewerState(t *testing.T) {
	entries := func(states ...string) []watch.Endpoint {
		var list []watch.Endpoint
		for _, entry := range states {
			id, state, _ := strings.Cut(entry, " ")
			list = append(list, watch.Endpoint{ID: id, State: state, Kind: "std", Zone: "edge", Addr: "127.0.0.1:1"})
		}
		return list
	}
	series := []*watch.EndpointUpdate{
		{Full: true, Endpoints: entries("a SERVING", "b SERVING", "c SERVING")},
		{Endpoints: entries("a DRAINING", "d SERVING")},
		{Full: true, Endpoints: entries("a DRAINING", "b SERVING", "d SERVING", "e SERVING")},
		{Endpoints: entries("a DELETED", "f SERVING")},
		{Endpoints: entries("b DRAINING", "a SERVING", "f DRAINING")},
		{Endpoints: entries("d DRAINING", "f DELETED")},
	}
	want := "[a=2 b=1 d=1 e=2]"
	if policy.Ready != 2 || policy.Draining != 1 {
		t.Fatal("the numbers of the states in want are out of date")
	}
	for lateIndex := range series {
		table := newRecordedTable(t)
		var missing missingEvents
		table.apply(&watch.EndpointUpdate{Full: true, Endpoints: entries("z SERVING")})
		apply := func(index int, update *watch.EndpointUpdate) {
			table.apply(update)
			missing.recordDelivered(watch.Event{Index: int64(index), Endpoints: series[index]})
		}
		for index, update := range series {
			if index == lateIndex {
				missing.add(int64(index), int64(index), 0)
				continue
			}
			apply(index, update)
		}
		apply(lateIndex, table.withoutSuperseded(series[lateIndex], func(endpoint string) bool {
			return missing.isSuperseded(int64(lateIndex), endpoint)
		}))
		var got []string
		for id, state := range table.states {
			if state != policy.Removed {
				got = append(got, fmt.Sprintf("%s=%d", id, state))
			}
		}
		slices.Sort(got)
		if fmt.Sprint(got) != want {
			t.Errorf("event %d late: %v, want %s", lateIndex, got, want)
		}
		if !missing.isEmpty() || missing.newestByEndpoint != nil {
			t.Errorf("event %d late: missing events are not reset: %+v", lateIndex, missing)
		}
	}
}

// TestRecoveryIsNotDelayedByFurtherMissingEvents guards against missing events that are never requested again because
// further events keep going missing.
func TestRecoveryIsNotDelayedByFurtherMissingEvents(t *testing.T) {
	corruptEverySecond := func(s *fakeStream) {
		for s.sent < len(s.harness.lines) {
			line := s.nextLine()
			if s.sent%2 == 1 {
				line = "{broken\n"
			}
			s.write(line)
			s.sent++
		}
	}
	h := newWatchHarness(t, func(stream int) streamScript {
		if stream == 0 {
			return corruptEverySecond
		}
		return sendAll
	})
	h.run(time.Second)
	published := h.clock.now
	for !h.delivered.has(2) && h.clock.now-published < maxEventDelay {
		h.publish(drainEvent)
		h.publish(drainEvent)
		h.run(200 * time.Millisecond)
	}
	if took := h.clock.now - published; took >= maxEventDelay {
		t.Errorf("event 2 was not delivered within %v; the streams followed from %v", took, h.followedIndices())
	}
}

// TestUnreadableLinesInARowDelayNoEvent guards against an event that waits behind two unreadable lines (soak, seed 104): each of
// them closed its stream, and the next one was opened after a pause that grew.
func TestUnreadableLinesInARowDelayNoEvent(t *testing.T) {
	const maxDelay = 300 * time.Millisecond // within which purges are obeyed
	for _, unreadable := range []int{1, 2, 3, 5} {
		for _, apart := range []time.Duration{harnessStep, 2 * harnessStep, 4 * harnessStep} {
			h := newWatchHarness(t, func(int) streamScript {
				return func(s *fakeStream) {
					for s.sent < len(s.harness.lines) && !s.closed {
						line := s.nextLine()
						if index := s.sent + 1; index >= 2 && index < 2+unreadable {
							line = fmt.Sprintf("{broken %d\n", index)
						}
						s.write(line)
						s.sent++
					}
					sendAll(s)
				}
			})
			h.run(2 * time.Second)
			for range unreadable {
				h.publish(drainEvent)
				h.run(apart)
			}
			h.publish(drainEvent)
			if took := h.runUntil(int64(2+unreadable), time.Minute); took > maxDelay {
				t.Errorf("%d unreadable lines, %v apart: the event behind them was delivered after %v", unreadable, apart, took)
			}
			h.close()
		}
	}
}
