package policy

import (
	"testing"
	"time"
)

// After a purge no copy older than it is accepted, and a retry joins no fill that may have begun before.
func TestPurgeBoundsAge(t *testing.T) {
	h := newHarness(t)
	h.handle(Purge{Object: "x", Age: 100 * ms})
	h.now += 50 * ms
	f := fetchOf(h.request(1, "x", 0))
	if f.MaxAge != 150*ms || !f.CoalesceFill {
		t.Fatalf("want age 150 ms, and a join as all that miss at once would fill, got %+v", f)
	}
	// The fill that it joined may be too old.
	f = fetchOf(h.handle(Outcome{ID: 1, Result: ResultError, Elapsed: 20 * ms}))
	if f == nil || f.MaxAge != 150*ms || f.CoalesceFill {
		t.Fatalf("want age 150 ms and no join in a further attempt, got %+v", f)
	}
	h.now += 7 * time.Second
	if f = fetchOf(h.request(2, "x", 0)); f.MaxAge != 0 || !f.CoalesceFill {
		t.Fatalf("the purge is over, got %+v", f)
	}
	h.handle(Purge{Group: 0})
	if f = fetchOf(h.request(3, "y", 1)); f.MaxAge <= 0 || f.MaxAge > ms {
		t.Fatalf("age 0 would mean the default, got %v", f.MaxAge)
	}
}

// A purge of an object, or of its group, ends the belief that it is cached; other records stay.
func TestPurgeClearsCacheRecords(t *testing.T) {
	for _, purge := range []Purge{{Object: "x", Group: 0}, {Group: 0}} {
		h := newHarness(t)
		e := h.router.endpoints[h.serve(1, "x", CacheStatusFilled).Target]
		req := &request{Request: Request{Object: "x"}, class: &h.router.settings.Classes[0],
			key: e.cacheIndex.Keys()[0]}
		h.now += 10 * time.Second
		h.handle(Purge{Object: "y", Group: 0})
		h.handle(Purge{Group: 9})
		if !h.router.likelyCached(e, req) {
			t.Fatal("another purge removed the record")
		}
		h.handle(purge)
		h.now += 10 * time.Second
		h.handle(Purge{Group: 7}) // another purge removes none that a record may predate
		if h.router.likelyCached(e, req) {
			t.Fatalf("%+v left the record", purge)
		}
		h.router.recordCached(e, req, true)
		if !h.router.likelyCached(e, req) {
			t.Fatal("a copy filled after the purge is not expected to be there")
		}
	}
}
