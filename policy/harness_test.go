package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings is a small deployment: three caches, two parents and an origin, one class of each effect.
func testSettings() Settings {
	return Settings{
		Zone: 1, ParentKind: 1, OriginKind: 2, Routers: 1, RoutersInZone: 1, WeightsConfigured: true,
		TransferKBPerSecond: 1000, ZoneLinkTransfers: 100, DirectRequests: true, CoalesceFills: true, Siblings: SiblingsZone,
		Classes: []Class{
			{Idempotency: Idempotent, LatencyObjective: 500 * ms, LatencyObjectiveStretch: 2, PriorityWeight: 1},
			{Idempotency: Idempotent, LatencyObjective: 500 * ms, LatencyObjectiveStretch: 2, PriorityWeight: 1,
				FreshFor: 8 * time.Second, StaleFor: 10 * time.Second},
			{Idempotency: NonIdempotent, LatencyObjective: 500 * ms, PriorityWeight: 3, Uncacheable: true},
		},
		MaxAttempts: 6, MayCancel: true, MaxRetryAfter: time.Second,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: 2 * time.Second,
		ParentSlowStartCapacity: 0.1, ParentSlowStartDuration: 20 * time.Second, ParentOverloadMultiple: 2,
		PurgeGrace: 500 * ms, PurgeCompletedWithin: 6 * time.Second,
	}
}

func allEndpoints() EndpointUpdate {
	return EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "a", State: Ready, Zone: 1, Weight: 5}, {ID: "b", State: Ready, Zone: 1, Weight: 5},
		{ID: "c", State: Ready, Zone: 1, Weight: 5},
		{ID: "p", State: Ready, Kind: 1, Weight: 20}, {ID: "q", State: Ready, Kind: 1, Weight: 20},
		{ID: "o", State: Ready, Kind: 2},
	}}
}

// harness drives a router by hand.
type harness struct {
	t *testing.T
	router *Router
	now time.Duration
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, router: New(testSettings(), 1), now: time.Hour}
	h.do(allEndpoints())
	return h
}

func (h *harness) do(ev Event) []Action { return h.router.Handle(h.now, ev) }

func (h *harness) request(id int64, object string, class int) []Action {
	return h.do(Request{ID: id, Object: object, Class: class, SizeKB: 100, Remaining: 3 * time.Second})
}

func fetchOf(acts []Action) *Fetch {
	for _, a := range acts {
		if f, ok := a.(Fetch); ok {
			return &f
		}
	}
	return nil
}

func countFinalAnswers(acts []Action) (n int) {
	for _, a := range acts {
		switch a.(type) {
		case Reject, Fail:
			n++
		}
	}
	return n
}

func (h *harness) serve(id int64, object string, note CacheStatus) Fetch {
	f := fetchOf(h.request(id, object, 0))
	if f == nil {
		h.t.Fatalf("request %d was not sent", id)
	}
	h.now += 150 * ms
	h.do(Outcome{ID: id, Result: ResultOK, CacheStatus: note, Elapsed: 150 * ms, SourceFirstByte: 20 * ms, RequestFinished: true})
	return *f
}
