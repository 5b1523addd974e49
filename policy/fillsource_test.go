package policy

import (
	"math"
	"testing"
	"time"
)

// All routers rank siblings alike: one whose link has no capacity left is not used as a source.
func TestFullSiblingIsNotASource(t *testing.T) {
	h := newHarness(t)
	r := h.router
	req := &request{
		Request: Request{Object: "x"}, class: &r.settings.Classes[0], key: 7,
		transferSeconds: 0.1, objectiveAt: h.now + 500*ms,
	}
	holder := r.endpoints["b"]
	r.recordCached(holder, req, true)
	if r.chooseSibling(req, r.endpoints["a"]) != holder {
		t.Fatal("an idle sibling that has the object is not the source")
	}
	for i := 0; i < 30; i++ {
		holder.link.inFlight = append(holder.link.inFlight, &attempt{request: req, target: holder})
	}
	if s := r.chooseSibling(req, r.endpoints["a"]); s != nil {
		t.Fatalf("sibling %s is the source although it is full", s.ID)
	}
}

// A cache that returns to the endpoint list is the target for its objects again, and a sibling that still has
// them cached fills them.
func TestReturnedCacheIsFilledFromSibling(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	h.handle(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Removed, Zone: 1, Weight: 5}}})
	next := h.serve(2, "x", CacheStatusFilled).Target
	h.handle(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5}}})
	f := fetchOf(h.request(3, "x", 0))
	if f.Target != home || f.Source != next {
		t.Fatalf("want %s filled from %s, got %+v", home, next, f)
	}
	actions := h.handle(Outcome{
		ID: 3, Result: ResultNotFound, CacheStatus: CacheStatusSourceMiss, Elapsed: 10 * ms,
	})
	if f = fetchOf(actions); f == nil || f.Source != "p" && f.Source != "q" {
		t.Fatalf("after CacheStatusSourceMiss got %+v, want a parent as the source", actions)
	}
}

// A sibling is the source when 1 + beta*rho < beta: with beta 4 that is rho < 0.75.
func TestSiblingIsSourceOnlyBelowMissPenalty(t *testing.T) {
	for _, c := range []struct {
		missRatio float64
		want      bool
	}{{0.74, true}, {0.76, false}} {
		h := newHarness(t)
		r := h.router
		r.parentFirstByteSeconds.value, r.siblingFirstByteSeconds.value = 0.040, 0.010
		req := &request{
			Request: Request{Object: "x"}, class: &r.settings.Classes[0], key: 7,
			transferSeconds: 0.1, objectiveAt: h.now + time.Second,
		}
		r.recordCached(r.endpoints["b"], req, true)
		r.endpoints["b"].misindication = misindicationRatio{fills: 1, value: c.missRatio}
		if got := r.chooseSibling(req, r.endpoints["a"]) != nil; got != c.want {
			t.Errorf("misindication ratio %v: sibling is the source: %v, want %v", c.missRatio, got, c.want)
		}
	}
}

// Once both first-byte times are known, the miss penalty is that of the parents divided by that of the
// siblings.
func TestMissPenaltyFromFirstByteTimes(t *testing.T) {
	h := newHarness(t)
	if b := h.router.missPenalty(); b != initialMissPenalty {
		t.Fatalf("initial miss penalty %v, want initialMissPenalty", b)
	}
	h.router.parentFirstByteSeconds.value, h.router.siblingFirstByteSeconds.value = 0.06, 0.02
	if b := h.router.missPenalty(); math.Abs(b-3) > 1e-9 {
		t.Fatalf("miss penalty %v, want 3", b)
	}
}
