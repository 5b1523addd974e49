package policy

import (
	"testing"
	"time"
)

// After a purge no copy from before it is accepted, and a retry does not wait for a fill that may have begun
// before it.
func TestPurgeBoundsAge(t *testing.T) {
	h := newHarness(t)
	h.handle(Purge{Object: "x", Age: 100 * ms})
	h.now += 50 * ms
	f := fetchOf(h.request(1, "x", 0))
	if f.MaxAge != 150*ms || f.PurgeAge != 150*ms || !f.CoalesceFill {
		t.Fatalf("got %+v, want MaxAge and PurgeAge 150ms and CoalesceFill, as many requests miss at once", f)
	}
	// The fill that the first attempt waited for may have begun before the purge.
	f = fetchOf(h.handle(Outcome{ID: 1, Result: ResultError, Elapsed: 20 * ms}))
	if f == nil || f.MaxAge != 150*ms || f.CoalesceFill {
		t.Fatalf("got %+v, want MaxAge 150ms and no CoalesceFill in a retry", f)
	}
	h.now += 7 * time.Second
	if f = fetchOf(h.request(2, "x", 0)); f.MaxAge != 0 || f.PurgeAge != 0 || !f.CoalesceFill {
		t.Fatalf("got %+v after the purge has completed, want no limit", f)
	}
	h.handle(Purge{Group: 0})
	if f = fetchOf(h.request(3, "y", 1)); f.MaxAge <= 0 || f.MaxAge > ms {
		t.Fatalf("MaxAge %v, want at most 1ms but not 0, which means the class's FreshFor", f.MaxAge)
	}
	h.now += 8*time.Second + 100*ms
	h.handle(Purge{Object: "z", Age: 20 * time.Second})
	h.handle(Purge{Object: "z", Age: 2 * time.Second})
	h.now += 3 * time.Second
	if f = fetchOf(h.request(4, "z", 1)); f.MaxAge != 5*time.Second || f.PurgeAge != 5*time.Second {
		t.Fatalf("got %+v, want the time since the latest purge", f)
	}
}

// The time since a purge is given beside a lower limit of the class: a copy within the class's limit, with a tolerance,
// may still be older than the purge.
func TestPurgeAgeBesideClassLimit(t *testing.T) {
	h := newHarness(t)
	h.router.settings.Classes[1].FreshFor = 100 * ms
	h.handle(Purge{Object: "x", Age: 101 * ms})
	if f := fetchOf(h.request(1, "x", 1)); f.MaxAge != 100*ms || f.PurgeAge != 101*ms {
		t.Fatalf("got %+v, want MaxAge 100ms and PurgeAge 101ms", f)
	}
}

// After a purge of an object, or of its group, the cache records of the object no longer count. Those of
// other objects still do.
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
			t.Fatal("the record does not count after a purge of another object")
		}
		h.handle(purge)
		h.now += 10 * time.Second
		h.handle(Purge{Group: 7}) // must not drop a purge that is later than a record
		if h.router.likelyCached(e, req) {
			t.Fatalf("the record still counts after %+v", purge)
		}
		h.router.recordCached(e, req, true)
		if !h.router.likelyCached(e, req) {
			t.Fatal("the record of a copy filled after the purge does not count")
		}
	}
}
