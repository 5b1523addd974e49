package policy

import (
	"math"
	"testing"
	"time"
)

// The transfer time of a part is learned from the bytes of an answer. A slow answer makes neither the part
// nor its class look larger, as a congested link would then look free.
func TestSizesAreRememberedByPart(t *testing.T) {
	h := newHarness(t)
	for id := range int64(20) {
		object, transferTime := "small", 50*ms
		if id%2 == 1 {
			object, transferTime = "large", 750*ms
		}
		h.handle(Request{ID: id + 1, Object: object, Remaining: 6 * time.Second})
		h.now += 2 * transferTime
		h.handle(Outcome{ID: id + 1, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: 2 * transferTime,
			FullPaceTransferTime: transferTime, RequestFinished: true})
	}
	for object, want := range map[string]float64{"small": 0.05, "large": 0.75, "unknown": 0.4} {
		h.handle(Request{ID: 99, Object: object, Remaining: 6 * time.Second})
		if got := h.router.requests[99].transferSeconds; math.Abs(got-want) > 0.01 {
			t.Errorf("%s: expected transfer time %v s, want %v", object, got, want)
		}
		h.handle(RequestEnded{ID: 99})
		h.handle(Outcome{ID: 99, Result: ResultCancelled})
	}
}

// Unknown transfer times are learned from hits over links without congestion. A large object over such a link
// must not look like congestion, as small requests would then be shed.
func TestUnknownSizesAreLearned(t *testing.T) {
	h := newHarness(t)
	initial := newHarness(t).router.classTransferSeconds[""].value
	send := func(id int64, elapsed time.Duration) *endpointState {
		f := fetchOf(h.handle(Request{ID: id, Object: "x", Class: 0, Remaining: 3 * time.Second}))
		if f == nil {
			t.Fatalf("request %d was not sent", id)
		}
		h.now += elapsed
		h.handle(Outcome{ID: id, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: elapsed,
			RequestFinished: true})
		return h.router.endpoints[f.Target]
	}
	var e *endpointState
	for id := range int64(50) {
		e = send(id+1, 300*ms)
	}
	if got := h.router.classTransferSeconds[""].value; initial != 0 || math.Abs(got-0.3) > 0.01 {
		t.Errorf("learned %v s from answers of 0.3 s, starting from %v", got, initial)
	}
	if e.link.capacity != e.link.nominalCapacity {
		t.Errorf("link capacity %v, want the nominal %v", e.link.capacity, e.link.nominalCapacity)
	}
	send(60, 2500*ms) // far longer than any size explains
	if e.link.currentSlowdown(h.now) < minSlowdown {
		t.Errorf("slowdown %v after a transfer far slower than usual", e.link.currentSlowdown(h.now))
	}
}
