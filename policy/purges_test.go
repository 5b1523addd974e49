package policy

import (
	"testing"
	"time"
)

// After a purge no copy older than it will do, and no fill is joined that may be older.
func TestPurgeBoundsAge(t *testing.T) {
	h := newHarness(t)
	h.do(Purge{Object: "x", Age: 100 * ms})
	h.now += 50 * ms
	f := fetchOf(h.request(1, "x", 0))
	if f.MaxAge != 150*ms || !f.CoalesceFill {
		t.Fatalf("want age 150 ms, and a join as all that miss at once would fill, got %+v", f)
	}
	f = fetchOf(h.do(Outcome{ID: 1, Result: ResultError, Elapsed: 20 * ms})) // what it joined was too old, perhaps
	if f == nil || f.MaxAge != 150*ms || f.CoalesceFill {
		t.Fatalf("want age 150 ms and no join in a further attempt, got %+v", f)
	}
	h.now += 7 * time.Second
	if f = fetchOf(h.request(2, "x", 0)); f.MaxAge != 0 || !f.CoalesceFill {
		t.Fatalf("the purge is over, got %+v", f)
	}
	h.do(Purge{Group: 0})
	if f = fetchOf(h.request(3, "y", 1)); f.MaxAge <= 0 || f.MaxAge > ms {
		t.Fatalf("age 0 would mean the default, got %v", f.MaxAge)
	}
}

// A purge of the object, or of its group, ends the records of its copies; others stay.
func TestPurgeClearsCacheRecords(t *testing.T) {
	for _, purge := range []Purge{{Object: "x", Group: 0}, {Group: 0}} {
		h := newHarness(t)
		m := h.router.endpoints[h.serve(1, "x", CacheStatusFilled).Target]
		req := &request{Request: Request{Object: "x"}, class: &h.router.settings.Classes[0], key: m.cacheIndex.Keys()[0]}
		h.now += 10 * time.Second
		h.do(Purge{Object: "y", Group: 0})
		h.do(Purge{Group: 9})
		if !h.router.likelyCached(m, req) {
			t.Fatal("another purge took the belief")
		}
		h.do(purge)
		h.now += 10 * time.Second
		h.do(Purge{Group: 7}) // news of another forgets none that a belief may predate
		if h.router.likelyCached(m, req) {
			t.Fatalf("%+v left the belief", purge)
		}
		h.router.recordCached(m, req, true)
		if !h.router.likelyCached(m, req) {
			t.Fatal("a copy filled after the purge is not expected to be there")
		}
	}
}
