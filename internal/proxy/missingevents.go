package proxy

import (
	"maps"
	"slices"

	"cloverdoor/internal/watch"
)

const (
	// maxMissingEvents bounds how many missing events are remembered; the newest are.
	maxMissingEvents = 1024
	// maxRequestsForMissing is how often a missing event is requested again before it is given up.
	maxRequestsForMissing = 4
)

// missingEvents are the events that were passed over because they could not be decoded or did not arrive, while
// those behind them were applied. One that arrives late must not undo what a newer event has said: as long as
// any is missing, the newest event that named each endpoint is remembered.
type missingEvents struct {
	requests         map[int64]int    // by index of a missing event: how often it was requested again
	newestByEndpoint map[string]int64 // by endpoint id: index of the newest event that named it
	newestFullList   int64            // index of the newest event with a full list; 0: none
}

// add notes that the events from one index to another are missing and have been requested again as often as
// requests says.
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

// lowest is the lowest index of a missing event.
func (m *missingEvents) lowest() int64 { return slices.Min(slices.Collect(maps.Keys(m.requests))) }

// fewestRequests is how often the least requested of the missing events was requested again.
func (m *missingEvents) fewestRequests() int {
	return slices.Min(slices.Collect(maps.Values(m.requests)))
}

// recordRequest notes that all missing events have been requested once more.
func (m *missingEvents) recordRequest() {
	for index := range m.requests {
		m.requests[index]++
	}
}

// dropExhausted forgets the events that were requested often enough, and returns how many those are.
func (m *missingEvents) dropExhausted() int {
	before := len(m.requests)
	maps.DeleteFunc(m.requests, func(_ int64, requests int) bool { return requests >= maxRequestsForMissing })
	m.resetIfEmpty()
	return before - len(m.requests)
}

// recordDelivered notes what an event says that was applied. A late one is missing no longer.
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

// recordEndpoints notes which endpoints an event names.
func (m *missingEvents) recordEndpoints(index int64, update *watch.EndpointUpdate) {
	if update.Full {
		m.newestFullList = max(m.newestFullList, index)
	}
	for _, endpoint := range update.Endpoints {
		m.newestByEndpoint[endpoint.ID] = max(m.newestByEndpoint[endpoint.ID], index)
	}
}

// resetIfEmpty forgets what newer events said once no event is missing.
func (m *missingEvents) resetIfEmpty() {
	if m.isEmpty() {
		*m = missingEvents{}
	}
}

// isSuperseded reports whether an event newer than the one with the index has named an endpoint, or has listed
// all.
func (m *missingEvents) isSuperseded(index int64, endpoint string) bool {
	return m.newestFullList > index || m.newestByEndpoint[endpoint] > index
}
