package proxy

import (
	"maps"
	"slices"

	"cloverdoor/internal/watch"
)

const (
	// maxMissingEvents is the maximum number of missing events that are tracked. Beyond it the oldest are forgotten.
	maxMissingEvents = 1024
	// maxRequestsForMissing is the number of requests after which recovery gives a missing event up.
	maxRequestsForMissing = 4
)

// missingEvents tracks the events that were skipped because they could not be decoded or did not arrive, while
// later events were applied. An event that arrives late must not undo a newer one, so while any event is missing,
// the index of the newest event that named each endpoint is kept as well.
type missingEvents struct {
	requests         map[int64]int    // number of times that each missing event was requested again, by index
	newestByEndpoint map[string]int64 // by endpoint id: index of the newest event that named it
	newestFullList   int64            // index of the newest event with a full list; 0: none
}

// add records the events with the indices in [from, to] as missing. requests is the number of times that they have
// been requested again already.
func (m *missingEvents) add(from, to int64, requests int) {
	if m.requests == nil {
		m.requests = map[int64]int{}
		m.newestByEndpoint = map[string]int64{}
	}
	for index := max(from, to-maxMissingEvents+1); index <= to; index++ {
		m.requests[index] = requests
	}
	for len(m.requests) > maxMissingEvents {
		delete(m.requests, m.lowest())
	}
}

// isEmpty reports whether no event is missing.
func (m *missingEvents) isEmpty() bool { return len(m.requests) == 0 }

// has reports whether an event is missing.
func (m *missingEvents) has(index int64) bool {
	_, missing := m.requests[index]
	return missing
}

// lowest returns the lowest index of a missing event. At least one must be missing.
func (m *missingEvents) lowest() int64 { return slices.Min(slices.Collect(maps.Keys(m.requests))) }

// fewestRequests returns the lowest number of requests among the missing events. At least one must be missing.
func (m *missingEvents) fewestRequests() int {
	return slices.Min(slices.Collect(maps.Values(m.requests)))
}

// recordRequest records that all missing events have been requested once more.
func (m *missingEvents) recordRequest() {
	for index := range m.requests {
		m.requests[index]++
	}
}

// dropExhausted forgets the events that have reached maxRequestsForMissing and returns how many it forgot.
func (m *missingEvents) dropExhausted() int {
	countBefore := len(m.requests)
	maps.DeleteFunc(m.requests, func(_ int64, requests int) bool { return requests >= maxRequestsForMissing })
	m.resetIfEmpty()
	return countBefore - len(m.requests)
}

// recordDelivered records an event that was applied, new or late: it is no longer missing, and the endpoints that
// it names have a newest event. It does nothing while no event is missing.
func (m *missingEvents) recordDelivered(ev watch.Event) {
	if m.isEmpty() {
		return
	}
	delete(m.requests, ev.Index)
	if ev.Endpoints != nil {
		m.recordEndpoints(ev.Index, ev.Endpoints)
	}
	m.resetIfEmpty()
}

// recordEndpoints records which endpoints an event names.
func (m *missingEvents) recordEndpoints(index int64, update *watch.EndpointUpdate) {
	if update.Full {
		m.newestFullList = max(m.newestFullList, index)
	}
	for _, endpoint := range update.Endpoints {
		m.newestByEndpoint[endpoint.ID] = max(m.newestByEndpoint[endpoint.ID], index)
	}
}

// resetIfEmpty discards the indices of the newest events once no event is missing.
func (m *missingEvents) resetIfEmpty() {
	if m.isEmpty() {
		*m = missingEvents{}
	}
}

// isSuperseded reports whether an event newer than index has named the endpoint or was a full list.
func (m *missingEvents) isSuperseded(index int64, endpoint string) bool {
	return m.newestFullList > index || m.newestByEndpoint[endpoint] > index
}
