package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// world is a small deployment: three caches, two parents and an origin, one class of each effect.
func world() Settings {
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

func everybody() EndpointUpdate {
	return EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "a", State: Ready, Zone: 1, Weight: 5}, {ID: "b", State: Ready, Zone: 1, Weight: 5},
		{ID: "c", State: Ready, Zone: 1, Weight: 5},
		{ID: "p", State: Ready, Kind: 1, Weight: 20}, {ID: "q", State: Ready, Kind: 1, Weight: 20},
		{ID: "o", State: Ready, Kind: 2},
	}}
}

// rig drives a router by hand.
type rig struct {
	t *testing.T
	r *Router
	n time.Duration
}

func newRig(t *testing.T) *rig {
	g := &rig{t: t, r: New(world(), 1), n: time.Hour}
	g.do(everybody())
	return g
}

func (g *rig) do(ev Event) []Action { return g.r.Handle(g.n, ev) }

func (g *rig) request(id int64, object string, class int) []Action {
	return g.do(Request{ID: id, Object: object, Class: class, SizeKB: 100, Remaining: 3 * time.Second})
}

func fetchOf(acts []Action) *Fetch {
	for _, a := range acts {
		if f, ok := a.(Fetch); ok {
			return &f
		}
	}
	return nil
}

func finals(acts []Action) (n int) {
	for _, a := range acts {
		switch a.(type) {
		case Reject, Fail:
			n++
		}
	}
	return n
}

func (g *rig) serve(id int64, object string, note CacheStatus) Fetch {
	f := fetchOf(g.request(id, object, 0))
	if f == nil {
		g.t.Fatalf("request %d was not sent", id)
	}
	g.n += 150 * ms
	g.do(Outcome{ID: id, Result: ResultOK, CacheStatus: note, Elapsed: 150 * ms, SourceFirstByte: 20 * ms, RequestFinished: true})
	return *f
}
