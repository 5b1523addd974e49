package proxy

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// recordedPools records the calls of an endpoint table to the pools.
type recordedPools struct{ calls []string }

func (r *recordedPools) SetAddress(id string, addr netip.AddrPort) {
	r.calls = append(r.calls, "set "+id+" "+addr.String())
}
func (r *recordedPools) DiscardConns(id string)   { r.calls = append(r.calls, "discard "+id) }
func (r *recordedPools) RemoveEndpoint(id string) { r.calls = append(r.calls, "remove "+id) }

// TestEndpointUpdates checks the calls to the pools and the events for the decision module that result from new
// endpoints, restarts, entries that can't be decoded, endpoints that a full list leaves out, and new ones at the addresses of
// others.
func TestEndpointUpdates(t *testing.T) {
	pools := &recordedPools{}
	var events []policy.Event
	table := &endpointTable{
		log: slog.New(slog.DiscardHandler), pools: pools, startMillis: map[string]int64{},
		notify: func(ev policy.Event) { events = append(events, ev) },
		kinds:  []string{"std", "origin"}, zones: []string{"hub"},
	}
	addresses := map[string]string{"a": "10.0.0.1:80", "b": "10.0.0.2:80", "c": "10.0.0.3:80", "d": "10.0.0.1:80", "e": "10.0.0.1:80"}
	entry := func(id, state, zone string) watch.Endpoint {
		return watch.Endpoint{ID: id, Addr: addresses[id], Zone: zone, Kind: "std", State: state, Weight: 3}
	}
	serving, draining, removed := policy.Ready, policy.Draining, policy.Removed
	table.clock = newClockTest(t, 0).p.clock
	restarted := entry("a", watch.StateServing, "hub")
	restarted.StartedMillis = table.clock.loop.Now().Milliseconds()
	later := entry("e", watch.StateServing, "hub")
	later.StartedMillis = restarted.StartedMillis
	for _, step := range []struct {
		name   string
		update watch.EndpointUpdate
		calls  []string
		states []policy.State
		count  int
	}{
		{"full list", watch.EndpointUpdate{Full: true, Endpoints: []watch.Endpoint{
			entry("a", watch.StateServing, "hub"), entry("b", watch.StateDraining, "hub")}},
			[]string{"set a 10.0.0.1:80", "set b 10.0.0.2:80"}, []policy.State{serving, draining}, 2},
		{"restart", watch.EndpointUpdate{Endpoints: []watch.Endpoint{restarted}},
			[]string{"discard a", "set a 10.0.0.1:80"}, []policy.State{serving}, 2},
		{"unknown zone", watch.EndpointUpdate{Endpoints: []watch.Endpoint{entry("b", watch.StateServing, "nowhere")}},
			[]string{"remove b"}, []policy.State{removed}, 1},
		{"deleted before it was known", watch.EndpointUpdate{Endpoints: []watch.Endpoint{entry("c", watch.StateDeleted, "hub")}},
			nil, []policy.State{removed}, 1},
		{"full list without a", watch.EndpointUpdate{Full: true, Endpoints: []watch.Endpoint{entry("d", watch.StateServing, "hub")}},
			[]string{"set d 10.0.0.1:80", "remove a"}, []policy.State{serving}, 1},
		{"later start at the address of d", watch.EndpointUpdate{Endpoints: []watch.Endpoint{later}},
			[]string{"set e 10.0.0.1:80", "remove d"}, []policy.State{serving, removed}, 1},
		{"d again", watch.EndpointUpdate{Endpoints: []watch.Endpoint{entry("d", watch.StateServing, "hub")}},
			nil, []policy.State{removed}, 1},
		{"e deleted, and d again", watch.EndpointUpdate{Endpoints: []watch.Endpoint{
			entry("d", watch.StateServing, "hub"), entry("e", watch.StateDeleted, "hub")}},
			[]string{"set d 10.0.0.1:80", "remove e"}, []policy.State{serving, removed}, 1},
	} {
		pools.calls = nil
		events = nil
		table.apply(&step.update)
		if !slices.Equal(pools.calls, step.calls) {
			t.Errorf("%s: calls to the pools %q, want %q", step.name, pools.calls, step.calls)
		}
		if len(events) != 1 {
			t.Fatalf("%s: %d events, want 1", step.name, len(events))
		}
		update := events[0].(policy.EndpointUpdate)
		var states []policy.State
		for _, e := range update.Endpoints {
			states = append(states, e.State)
		}
		if update.Full != step.update.Full || !slices.Equal(states, step.states) {
			t.Errorf("%s: wrong update: %+v", step.name, update)
		}
		if table.count() != step.count {
			t.Errorf("%s: %d endpoints in use, want %d", step.name, table.count(), step.count)
		}
	}
}

// TestStartTimesOfOneListUseOneOffset guards against an endpoint that counts as restarted because a later entry of
// its list corrects the clock: all start times of a list, in whatever order, must be converted with the clock offset
// that applies after the whole list.
func TestStartTimesOfOneListUseOneOffset(t *testing.T) {
	const clockLag = time.Hour
	c := newClockTest(t, -clockLag)
	var notified []policy.Endpoint
	corrected := time.Duration(0)
	table := &endpointTable{
		log: slog.New(slog.DiscardHandler), clock: c.p.clock, pools: &recordedPools{},
		kinds: []string{"std"}, zones: []string{"edge"}, startMillis: map[string]int64{},
		notify: func(ev policy.Event) { notified = ev.(policy.EndpointUpdate).Endpoints },
	}
	c.p.clock.notify = func(ev policy.Event) { corrected += ev.(policy.ClockCorrection).Offset }
	entry := func(id string, started eventloop.Timestamp) watch.Endpoint {
		return watch.Endpoint{
			ID: id, State: watch.StateServing, Kind: "std", Zone: "edge", Addr: "127.0.0.1:1", StartedMillis: started.Milliseconds(),
		}
	}
	first := entry("a", c.correctStart-2*clockLag)
	table.apply(&watch.EndpointUpdate{Full: true, Endpoints: []watch.Endpoint{first}})
	before := notified[0].Started
	table.apply(&watch.EndpointUpdate{Endpoints: []watch.Endpoint{first, entry("b", c.correctStart)}})
	if want := before + corrected; corrected != -clockLag || notified[0].Started != want {
		t.Errorf("corrected by %v; start time %v, want %v", corrected, notified[0].Started, want)
	}
}
