package policy

import (
	"testing"
	"time"
)

// After a purge no copy older than it will do, and no fill is joined that may be older.
func TestPurgeBoundsAge(t *testing.T) {
	g := newRig(t)
	g.do(Purge{Object: "x", Age: 100 * ms})
	g.n += 50 * ms
	f := fetchOf(g.request(1, "x", 0))
	if f.MaxAge != 150*ms || !f.CoalesceFill {
		t.Fatalf("want age 150 ms, and a join as all that miss at once would fill, got %+v", f)
	}
	f = fetchOf(g.do(Outcome{ID: 1, Result: ResultError, Elapsed: 20 * ms})) // what it joined was too old, perhaps
	if f == nil || f.MaxAge != 150*ms || f.CoalesceFill {
		t.Fatalf("want age 150 ms and no join in a further attempt, got %+v", f)
	}
	g.n += 7 * time.Second
	if f = fetchOf(g.request(2, "x", 0)); f.MaxAge != 0 || !f.CoalesceFill {
		t.Fatalf("the purge is over, got %+v", f)
	}
	g.do(Purge{Group: 0})
	if f = fetchOf(g.request(3, "y", 1)); f.MaxAge <= 0 || f.MaxAge > ms {
		t.Fatalf("age 0 would mean the default, got %v", f.MaxAge)
	}
}

// A purge of the object, or of its group, ends the records of its copies; others stay.
func TestPurgeClearsCacheRecords(t *testing.T) {
	for _, purge := range []Purge{{Object: "x", Group: 0}, {Group: 0}} {
		g := newRig(t)
		m := g.r.endpoints[g.serve(1, "x", CacheStatusFilled).Target]
		req := &request{Request: Request{Object: "x"}, class: &g.r.settings.Classes[0], key: m.cacheIndex.Keys()[0]}
		g.n += 10 * time.Second
		g.do(Purge{Object: "y", Group: 0})
		g.do(Purge{Group: 9})
		if !g.r.likelyCached(m, req) {
			t.Fatal("another purge took the belief")
		}
		g.do(purge)
		g.n += 10 * time.Second
		g.do(Purge{Group: 7}) // news of another forgets none that a belief may predate
		if g.r.likelyCached(m, req) {
			t.Fatalf("%+v left the belief", purge)
		}
		g.r.recordCached(m, req, true)
		if !g.r.likelyCached(m, req) {
			t.Fatal("a copy filled after the purge is not expected to be there")
		}
	}
}
