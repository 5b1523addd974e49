package proxy

// This file applies the coordinator's endpoint updates to the endpoint table, the decision module and the connection
// pools.

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

// endpointPools is the part of the connection pools that the endpoint table uses.
type endpointPools interface {
	// SetAddress adds an endpoint or changes its address.
	SetAddress(id string, addr netip.AddrPort)
	// DiscardConns stops using the present connections to an endpoint that has restarted.
	DiscardConns(id string)
	// RemoveEndpoint removes an endpoint. Calls in progress on its established connections continue.
	RemoveEndpoint(id string)
}

// endpointTable holds the endpoints in use. It converts the coordinator's updates to updates for the decision module
// and applies them to the connection pools.
type endpointTable struct {
	log    *slog.Logger
	clock  *coordinatorClock
	pools  endpointPools
	notify func(policy.Event) // is called once for each of the coordinator's updates, with the converted one

	kinds, zones []string         // names in the settings; the decision module uses their indices
	startMillis  map[string]int64 // reported start of each endpoint in use, by id, in Unix milliseconds
	addresses    addressOwners    // of the endpoints in use
}

// endpointStates maps the coordinator's states to the decision module's. Any other state counts as removed.
var endpointStates = map[string]policy.State{
	watch.StateServing:  policy.Ready,
	watch.StateDraining: policy.Draining,
	watch.StateDeleted:  policy.Removed,
}

// count returns the number of endpoints in use.
func (t *endpointTable) count() int { return len(t.startMillis) }

// apply applies a full list of endpoints, or changes to it, and calls notify. Changes cost in proportion to their number.
func (t *endpointTable) apply(update *watch.EndpointUpdate) {
	t.observeStarts(update)
	t.releaseAddresses(update)
	inUse := map[string]bool{} // by id of an endpoint in the update: whether it is in use afterwards
	decoded := policy.EndpointUpdate{Full: update.Full}
	for _, entry := range update.Endpoints {
		endpoint, replaced := t.applyEntry(entry, update.Full)
		inUse[entry.ID] = endpoint.State != policy.Removed
		decoded.Endpoints = append(decoded.Endpoints, endpoint)
		for _, id := range replaced {
			inUse[id] = false
			decoded.Endpoints = append(decoded.Endpoints, unplacedEndpoint(id))
		}
	}
	for id, stays := range inUse {
		if !stays {
			t.remove(id)
		}
	}
	if update.Full {
		t.removeUnlisted(inUse)
	}
	t.notify(decoded)
}

// releaseAddresses forgets the addresses of the endpoints that an update determines, before any of its entries is applied:
// none of them counts as being at its former address.
func (t *endpointTable) releaseAddresses(update *watch.EndpointUpdate) {
	if update.Full {
		t.addresses = addressOwners{}
		return
	}
	for _, entry := range update.Endpoints {
		t.addresses.remove(entry.ID)
	}
}

// unplacedEndpoint returns a removed endpoint of no kind and zone.
func unplacedEndpoint(id string) policy.Endpoint {
	return policy.Endpoint{ID: id, State: policy.Removed, Kind: -1, Zone: -1}
}

// removeUnlisted removes the endpoints that a full list does not name.
func (t *endpointTable) removeUnlisted(listed map[string]bool) {
	for id := range t.startMillis {
		if _, named := listed[id]; !named {
			t.remove(id)
		}
	}
}

// remove removes an endpoint, if it is in use.
func (t *endpointTable) remove(id string) {
	if _, known := t.startMillis[id]; known {
		delete(t.startMillis, id)
		t.addresses.remove(id)
		t.pools.RemoveEndpoint(id)
	}
}

// withoutSuperseded returns the changes of a late update without those to endpoints whose state a newer update
// determines. A full list becomes a list of changes in which the endpoints that it leaves out are deleted.
func (t *endpointTable) withoutSuperseded(
	lateUpdate *watch.EndpointUpdate, superseded func(endpoint string) bool,
) *watch.EndpointUpdate {
	changes := &watch.EndpointUpdate{}
	named := map[string]bool{}
	for _, entry := range lateUpdate.Endpoints {
		named[entry.ID] = true
		if !superseded(entry.ID) {
			changes.Endpoints = append(changes.Endpoints, entry)
		}
	}
	if !lateUpdate.Full {
		return changes
	}
	for _, id := range slices.Sorted(maps.Keys(t.startMillis)) {
		if !named[id] && !superseded(id) {
			changes.Endpoints = append(changes.Endpoints, watch.Endpoint{ID: id, State: watch.StateDeleted})
		}
	}
	return changes
}

// observeStarts compares the start times of an update with the clock. It must be called before any of them is
// converted, because each may correct the clock.
func (t *endpointTable) observeStarts(update *watch.EndpointUpdate) {
	for _, entry := range update.Endpoints {
		if entry.StartedMillis != 0 {
			t.clock.observe(time.Duration(entry.StartedMillis)*time.Millisecond, 0)
		}
	}
}

// applyEntry decodes one endpoint and passes its address to the pools. An entry that can't be decoded counts as
// removed, because the endpoint can't be used and the entry may have said that it is draining. So does one whose address
// belongs to an endpoint that started later. replaced are the endpoints at its address that started earlier: they have
// gone.
func (t *endpointTable) applyEntry(entry watch.Endpoint, fullList bool) (decoded policy.Endpoint, replaced []string) {
	endpoint, addr, err := t.decode(entry)
	if err != nil {
		t.log.Warn("endpoint removed, entry unreadable", "server", entry.ID, "error", err)
		endpoint.State = policy.Removed
		return endpoint, nil
	}
	if !fullList { // a full list may have thousands of entries
		t.log.Info("endpoint changed", "server", entry.ID, "state", entry.State, "started_ms", entry.StartedMillis)
	}
	if endpoint.State == policy.Removed {
		return endpoint, nil
	}
	for _, other := range t.addresses.others(addr, entry.ID) {
		switch otherStart := t.startMillis[other]; {
		case otherStart > entry.StartedMillis:
			t.log.Warn("endpoint removed, another one has its address", "server", entry.ID, "other", other)
			endpoint.State = policy.Removed
			return endpoint, nil
		case otherStart < entry.StartedMillis:
			t.log.Warn("endpoint removed, another one has its address", "server", other, "other", entry.ID)
			replaced = append(replaced, other)
		}
	}
	previousStart, known := t.startMillis[entry.ID]
	if known && previousStart != entry.StartedMillis {
		t.pools.DiscardConns(entry.ID)
	}
	t.startMillis[entry.ID] = entry.StartedMillis
	t.addresses.set(entry.ID, addr)
	t.pools.SetAddress(entry.ID, addr)
	return endpoint, replaced
}

// decode decodes one entry of an update. A removed endpoint needs no valid address, kind or zone.
func (t *endpointTable) decode(entry watch.Endpoint) (policy.Endpoint, netip.AddrPort, error) {
	endpoint := policy.Endpoint{
		ID:      entry.ID,
		State:   endpointStates[entry.State],
		Started: t.startTime(entry.StartedMillis),
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

// startTime converts a start reported in Unix milliseconds to the loop's time. 0 stays 0: the endpoint started long
// ago.
func (t *endpointTable) startTime(unixMillis int64) eventloop.Timestamp {
	if unixMillis == 0 {
		return 0
	}
	return t.clock.toLocal(time.Duration(unixMillis) * time.Millisecond)
}
