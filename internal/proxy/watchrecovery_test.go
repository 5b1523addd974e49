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

// followedIndices is the index that each stream of a play followed.
func (h *watchHarness) followedIndices() []int {
	var from []int
	for _, s := range h.streams {
		from = append(from, s.from)
	}
	return from
}

// Guards against a drain that is lost for good as its line was spoilt once in the middle of the input: what
// follows it is taken at once, and it is requested again, as often as three bad lines in a row need.
func TestCorruptEventIsRecovered(t *testing.T) {
	corrupt := func(line string) string { return line[:len(line)/2] + line + "\n" }
	for _, c := range []struct {
		name        string
		corruptLine func(stream int) string // what stands for event 2 on a stream; empty: its line
		late        time.Duration           // the latest time of event 2
	}{
		{"spoilt once", func(stream int) string {
			if stream == 0 {
				return corrupt(`{"index":2,"x":1}`)
			}
			return ""
		}, time.Second},
		{"spoilt differently three times", func(stream int) string {
			if stream < 3 {
				return strings.Repeat("{", stream+1) + "broken\n"
			}
			return ""
		}, maxEventDelay},
		{"spoilt alike three times", func(stream int) string {
			if stream < 3 {
				return "{broken\n"
			}
			return ""
		}, maxEventDelay},
		{"missing three times", func(stream int) string {
			if stream < 3 {
				return " "
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
			t.Errorf("%s: taken at first: %v", c.name, h.delivered.indices)
		}
		h.runUntil(2, time.Minute)
		if took := h.clock.now - published; took > c.late {
			t.Errorf("%s: the event was taken after %v", c.name, took)
		}
		h.run(30 * time.Second)
		if got := fmt.Sprint(h.delivered.indices, h.delivered.late); got != "[3 4 2] [2]" {
			t.Errorf("%s: taken: %s", c.name, got)
		}
		if last := h.followedIndices()[len(h.streams)-1]; last != 1 {
			t.Errorf("%s: requested from %v", c.name, h.followedIndices())
		}
		h.close()
	}
}

// Guards against an event that can never be read and is requested without end: it is given up after a few
// requests, and all that follow it are taken as they come.
func TestUnreadableEventIsGivenUp(t *testing.T) {
	h := newWatchHarness(t, func(int) streamScript { return replaceEventLine(2, "{broken\n") })
	h.run(2 * time.Second)
	h.publish(drainEvent)
	h.publish(drainEvent)
	h.run(time.Minute)
	if streams := len(h.streams); streams != 1+maxRequestsForMissing {
		t.Errorf("streams followed from %v", h.followedIndices())
	}
	if !h.watch.missing.isEmpty() || len(h.watch.streams) != 1 {
		t.Errorf("missing: %v, %d streams", h.watch.missing.requests, len(h.watch.streams))
	}
	h.publish(drainEvent)
	if took := h.runUntil(4, time.Minute); took > 2*harnessStep {
		t.Errorf("the next event was taken after %v", took)
	}
}

// Guards against missing events that hold up new ones, or are forgotten, when the streams fail meanwhile.
func TestMissingEventIsRecoveredThoughStreamsFail(t *testing.T) {
	for name, broken := range failureScripts() {
		h := newWatchHarness(t, func(stream int) streamScript {
			switch stream {
			case 0:
				return replaceEventLine(2, "{broken\n")
			case 1, 2:
				return broken()
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
			t.Errorf("%s: all events were taken after %v", name, took)
		}
		h.close()
	}
}

// recordedTable is an endpoint table with one kind and zone that records what the decision module is notified of.
type recordedTable struct {
	endpointTable
	states map[string]policy.State // as the module knows them
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

// Guards against a late event that undoes a newer one: whichever event of a series is late, the endpoints end in
// the states that the whole series says.
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
		t.Fatal("the states have other numbers")
	}
	for late := range series {
		table := newRecordedTable(t)
		var missing missingEvents
		table.apply(&watch.EndpointUpdate{Full: true, Endpoints: entries("z SERVING")})
		apply := func(index int, update *watch.EndpointUpdate) {
			table.apply(update)
			missing.recordDelivered(watch.Event{Index: int64(index), Endpoints: series[index]})
		}
		for index, update := range series {
			if index == late {
				missing.add(int64(index), int64(index), 0)
				continue
			}
			apply(index, update)
		}
		apply(late, table.withoutSuperseded(series[late], func(endpoint string) bool { return missing.isSuperseded(int64(late), endpoint) }))
		var got []string
		for id, state := range table.states {
			if state != policy.Removed {
				got = append(got, fmt.Sprintf("%s=%d", id, state))
			}
		}
		slices.Sort(got)
		if fmt.Sprint(got) != want {
			t.Errorf("event %d late: %v, want %s", late, got, want)
		}
		if !missing.isEmpty() || missing.newestByEndpoint != nil {
			t.Errorf("event %d late: %+v is remembered", late, missing)
		}
	}
}

// Guards against missing events that are never requested again as further ones keep being passed over.
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
		t.Errorf("event 2 was not taken within %v; the streams followed from %v", took, h.followedIndices())
	}
}
