package proxy

// This file holds the table of endpoints: what the coordinator's updates change in it, in the decision module
// and in the connection pools.

import (
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// endpointPools is what the endpoint table needs of the connection pools.
type endpointPools interface {
	// SetAddress sets where an endpoint's connections lead.
	SetAddress(id string, addr netip.AddrPort)
	// DiscardConns stops using an endpoint's present connections, as it has restarted.
	DiscardConns(id string)
	// RemoveEndpoint closes an endpoint's connections.
	RemoveEndpoint(id string)
}

// endpointTable holds the endpoints in use. It turns the coordinator's updates into updates for the decision
// module and keeps the connection pools in step with them.
type endpointTable struct {
	log    *slog.Logger
	clock  *coordinatorClock
	pools  endpointPools
	notify func(policy.Event) // receives one update for each of the coordinator's

	kinds, zones []string         // the settings' names; the decision module knows their indices
	startMillis  map[string]int64 // of each endpoint in use, by id: Unix millisecond of its start as reported
}

// endpointStates are the decision module's states by the coordinator's; any other counts as removed.
var endpointStates = map[string]policy.State{
	watch.StateServing:  policy.Ready,
	watch.StateDraining: policy.Draining,
	watch.StateDeleted:  policy.Removed,
}

// count is how many endpoints are in use.
func (t *endpointTable) count() int { return len(t.startMillis) }

// apply takes a full list of endpoints or changes to it.
func (t *endpointTable) apply(update *watch.EndpointUpdate) {
	t.observeStarts(update)
	inUse := map[string]bool{} // whether each endpoint that the update names is in use from now on
	decoded := policy.EndpointUpdate{Full: update.Full}
	for _, entry := range update.Endpoints {
		endpoint := t.applyEntry(entry, update.Full)
		inUse[entry.ID] = endpoint.State != policy.Removed
		decoded.Endpoints = append(decoded.Endpoints, endpoint)
	}
	for id := range t.startMillis {
		stays, named := inUse[id]
		if named && !stays || !named && update.Full {
			delete(t.startMillis, id)
			t.pools.RemoveEndpoint(id)
		}
	}
	t.notify(decoded)
}

// withoutSuperseded returns what a late update still changes, without the endpoints for which newer updates say
// what holds. A full list becomes a list of changes: the endpoints that it leaves out are removed by name.
func (t *endpointTable) withoutSuperseded(
	late *watch.EndpointUpdate, superseded func(endpoint string) bool,
) *watch.EndpointUpdate {
	changes := &watch.EndpointUpdate{}
	named := map[string]bool{}
	for _, entry := range late.Endpoints {
		named[entry.ID] = true
		if !superseded(entry.ID) {
			changes.Endpoints = append(changes.Endpoints, entry)
		}
	}
	if !late.Full {
		return changes
	}
	for _, id := range slices.Sorted(maps.Keys(t.startMillis)) {
		if !named[id] && !superseded(id) {
			changes.Endpoints = append(changes.Endpoints, watch.Endpoint{ID: id, State: watch.StateDeleted})
		}
	}
	return changes
}

// observeStarts compares the start times of an update with the clock. All of them must be known before any is
// converted: one may correct the clock.
func (t *endpointTable) observeStarts(update *watch.EndpointUpdate) {
	for _, entry := range update.Endpoints {
		if entry.Started != 0 {
			t.clock.observe(time.Duration(entry.Started)*time.Millisecond, 0)
		}
	}
}

// applyEntry decodes one endpoint and passes its address to the pools. One that can't be decoded counts as
// removed, as it can't be used, and as the entry may have said that it is draining.
func (t *endpointTable) applyEntry(entry watch.Endpoint, fullList bool) policy.Endpoint {
	endpoint, addr, err := t.decode(entry)
	if err != nil {
		t.log.Warn("endpoint removed, entry unreadable", "server", entry.ID, "error", err)
		endpoint.State = policy.Removed
		return endpoint
	}
	if !fullList { // a full list may have thousands
		t.log.Info("endpoint changed", "server", entry.ID, "state", entry.State, "started_ms", entry.Started)
	}
	if endpoint.State == policy.Removed {
		return endpoint
	}
	before, known := t.startMillis[entry.ID]
	if known && before != entry.Started {
		t.pools.DiscardConns(entry.ID)
	}
	t.startMillis[entry.ID] = entry.Started
	t.pools.SetAddress(entry.ID, addr)
	return endpoint
}

// decode decodes one entry of the list. One that is removed needs no valid address, kind or zone.
func (t *endpointTable) decode(entry watch.Endpoint) (policy.Endpoint, netip.AddrPort, error) {
	endpoint := policy.Endpoint{
		ID:      entry.ID,
		State:   endpointStates[entry.State],
		Started: t.startTime(entry.Started),
		Kind:    slices.Index(t.kinds, entry.Kind),
		Zone:    slices.Index(t.zones, entry.Zone),
		Weight:  entry.Weight,
		Cell:    entry.Cell,
	}
	if endpoint.State == policy.Removed {
		return endpoint, netip.AddrPort{}, nil
	}
	if endpoint.Kind < 0 || endpoint.Zone < 0 {
		return endpoint, netip.AddrPort{}, errors.New("unknown kind or zone")
	}
	addr, err := netip.ParseAddrPort(entry.Addr)
	return endpoint, addr, err
}

// startTime is the loop's time of a start that was reported as a Unix millisecond; 0: it started long ago.
func (t *endpointTable) startTime(unixMillis int64) eventloop.Timestamp {
	if unixMillis == 0 {
		return 0
	}
	return t.clock.toLocal(time.Duration(unixMillis) * time.Millisecond)
}
