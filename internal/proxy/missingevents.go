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
	requests       map[int64]int    // by index of a missing event: how often it was requested again
	newestByServer map[string]int64 // by endpoint id: index of the newest event that named it
	newestFullList int64            // index of the newest event with a full list; 0: none
}

// add notes that the events from one index to another are missing and have been requested again as often as
// requests says.
func (m *missingEvents) add(from, to int64, requests int) {
	if m.requests == nil {
		m.requests = map[int64]int{}
		m.newestByServer = map[string]int64{}
	}
	for index := max(from, to-maxMissingEvents+1); index <= to; index++ {
		m.requests[index] = requests
	}
	for len(m.requests) > maxMissingEvents {
		delete(m.requests, m.first())
	}
}

// isEmpty reports whether no event is missing.
func (m *missingEvents) isEmpty() bool { return len(m.requests) == 0 }

// has reports whether an event is missing.
func (m *missingEvents) has(index int64) bool {
	_, missing := m.requests[index]
	return missing
}

// first is the lowest index of a missing event.
func (m *missingEvents) first() int64 { return slices.Min(slices.Collect(maps.Keys(m.requests))) }

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

// giveUp forgets the events that were requested often enough, and returns how many those are.
func (m *missingEvents) giveUp() int {
	before := len(m.requests)
	maps.DeleteFunc(m.requests, func(_ int64, requests int) bool { return requests >= maxRequestsForMissing })
	m.forgetIfEmpty()
	return before - len(m.requests)
}

// recordTaken notes what an event says that was applied. A late one is missing no longer.
func (m *missingEvents) recordTaken(ev watch.Event) {
	if m.isEmpty() {
		return
	}
	delete(m.requests, ev.Index)
	if ev.Endpoints != nil {
		m.recordEndpoints(ev.Index, ev.Endpoints)
	}
	m.forgetIfEmpty()
}

// recordEndpoints notes which endpoints an event names.
func (m *missingEvents) recordEndpoints(index int64, update *watch.EndpointUpdate) {
	if update.Full {
		m.newestFullList = max(m.newestFullList, index)
	}
	for _, endpoint := range update.Endpoints {
		m.newestByServer[endpoint.ID] = max(m.newestByServer[endpoint.ID], index)
	}
}

// forgetIfEmpty forgets what newer events said once no event is missing.
func (m *missingEvents) forgetIfEmpty() {
	if m.isEmpty() {
		*m = missingEvents{}
	}
}

// isSuperseded reports whether an event newer than the one with the index has named an endpoint, or has listed
// all.
func (m *missingEvents) isSuperseded(index int64, endpoint string) bool {
	return m.newestFullList > index || m.newestByServer[endpoint] > index
}
