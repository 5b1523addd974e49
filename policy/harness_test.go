package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings for a small deployment: three caches, two parents and an origin. Class 0
// is idempotent, class 1 is idempotent with copies that expire, and class 2 is for writes.
func testSettings() Settings {
	return Settings{
		Zone: 1, ParentKind: 1, OriginKind: 2, Routers: 1, RoutersInZone: 1, WeightsConfigured: true,
		TransferKBPerSecond: 1000, ZoneLinkTransfers: 100, DirectRequests: true, CoalesceFills: true,
		Siblings: SiblingsZone,
		Classes: []Class{
			{
				Idempotency: Idempotent, PriorityWeight: 1,
				LatencyObjective: 500 * ms, LatencyObjectivePerTransfer: 2,
			},
			{
				Idempotency: Idempotent, PriorityWeight: 1,
				LatencyObjective: 500 * ms, LatencyObjectivePerTransfer: 2,
				FreshFor: 8 * time.Second, StaleFor: 10 * time.Second,
			},
			{Idempotency: NonIdempotent, LatencyObjective: 500 * ms, PriorityWeight: 3, Uncacheable: true},
		},
		MaxAttempts: 6, CancelAttempts: true, MaxRetryAfter: time.Second,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2,
		OverloadWindow:          2 * time.Second,
		ParentSlowStartCapacity: 0.1, ParentSlowStartDuration: 20 * time.Second, ParentOverloadMultiple: 2,
		PurgeGrace: 500 * ms, PurgeCompletedWithin: 6 * time.Second,
	}
}

// allEndpoints is the full endpoint list of the deployment.
func allEndpoints() EndpointUpdate {
	return EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "a", State: Ready, Zone: 1, Weight: 5}, {ID: "b", State: Ready, Zone: 1, Weight: 5},
		{ID: "c", State: Ready, Zone: 1, Weight: 5},
		{ID: "p", State: Ready, Kind: 1, Weight: 20}, {ID: "q", State: Ready, Kind: 1, Weight: 20},
		{ID: "o", State: Ready, Kind: 2},
	}}
}

// harness passes events to a router at times that the test sets.
type harness struct {
	t      testing.TB
	router *Router
	now    time.Duration
}

// newHarness returns a harness whose router has the test settings and knows all endpoints.
func newHarness(tb testing.TB) *harness {
	tb.Helper()
	return newHarnessWith(tb, testSettings())
}

// newHarnessWith returns a harness whose router has the given settings and knows all endpoints.
func newHarnessWith(tb testing.TB, settings Settings) *harness {
	tb.Helper()
	h := &harness{t: tb, router: New(settings, 1), now: time.Hour}
	h.handle(allEndpoints())
	return h
}

// handle passes an event to the router at the harness's time.
func (h *harness) handle(ev Event) []Action { return h.router.Handle(h.now, ev) }

// request sends a request of 100 KB, which takes 0.1 s at full pace.
func (h *harness) request(id int64, object string, class int) []Action {
	return h.handle(Request{ID: id, Object: object, Class: class, SizeKB: 100, Remaining: 3 * time.Second})
}

// fetchOf returns the first Fetch among actions, or nil.
func fetchOf(actions []Action) *Fetch {
	for _, a := range actions {
		if f, ok := a.(Fetch); ok {
			return &f
		}
	}
	return nil
}

// countFinalAnswers counts the final answers among actions.
func countFinalAnswers(actions []Action) (count int) {
	for _, a := range actions {
		switch a.(type) {
		case Reject, Fail:
			count++
		}
	}
	return count
}

// serve sends a request of class 0, answers it after 150 ms and returns its Fetch.
func (h *harness) serve(id int64, object string, status CacheStatus) Fetch {
	h.t.Helper()
	f := fetchOf(h.request(id, object, 0))
	if f == nil {
		h.t.Fatalf("request %d was not sent", id)
	}
	h.now += 150 * ms
	h.handle(Outcome{
		ID: id, Result: ResultOK, CacheStatus: status, RequestFinished: true,
		Elapsed: 150 * ms, SourceFirstByte: 20 * ms,
	})
	return *f
}
