package policy

import (
	"math"
	"testing"
	"time"
)

// A cache that joins owns objects that a sibling still holds: the sibling fills.
func TestReturnedCacheIsFilledFromSibling(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", CacheStatusFilled).Target
	g.do(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Removed, Zone: 1, Weight: 5}}})
	next := g.serve(2, "x", CacheStatusFilled).Target
	g.do(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5}}})
	f := fetchOf(g.request(3, "x", 0))
	if f.Target != home || f.Source != next {
		t.Fatalf("want %s filled from %s, got %+v", home, next, f)
	}
	acts := g.do(Outcome{ID: 3, Result: ResultNotFound, CacheStatus: CacheStatusSourceMissing, Elapsed: 10 * ms})
	if f = fetchOf(acts); f == nil || f.Source != "p" && f.Source != "q" {
		t.Fatalf("after 'lacks it' want the parent, got %+v", acts)
	}
}

// The choice names a sibling when 1 + beta*rho < beta: with beta 4 that is rho < 0.75.
func TestChoiceRule(t *testing.T) {
	for _, c := range []struct {
		rho  float64
		want bool
	}{{0.74, true}, {0.76, false}} {
		g := newRig(t)
		r := g.r
		r.parentWait.value, r.siblingWait.value = 0.040, 0.010
		req := &request{Request: Request{Object: "x"}, class: &r.settings.Classes[0], key: 7, work: 0.1,
			aim: g.n + time.Second}
		r.recordCopy(r.members["b"], req, true)
		r.members["b"].misindication = ratio{asked: 1, value: c.rho}
		if got := r.chooseSibling(req, r.members["a"]) != nil; got != c.want {
			t.Errorf("rho %v: sibling named %v, want %v", c.rho, got, c.want)
		}
	}
}

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

// A restarted cache is empty: no belief in it is left, and its ratio starts anew.
func TestRestartClearsCopyRecords(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", CacheStatusFilled).Target
	m := g.r.members[home]
	m.misindication.add(true)
	if m.copies.Len() != 1 {
		t.Fatalf("%d copy records", m.copies.Len())
	}
	g.do(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: g.n}}})
	if m.copies.Len() != 0 || m.misindication != (ratio{}) {
		t.Fatalf("%d copy records, ratio %+v after a restart", m.copies.Len(), m.misindication)
	}
}

// A purge of the object, or of its group, ends the records of its copies; others stay.
func TestPurgeClearsCopyRecords(t *testing.T) {
	for _, purge := range []Purge{{Object: "x", Group: 0}, {Group: 0}} {
		g := newRig(t)
		m := g.r.members[g.serve(1, "x", CacheStatusFilled).Target]
		req := &request{Request: Request{Object: "x"}, class: &g.r.settings.Classes[0], key: m.copies.Keys()[0]}
		g.n += 10 * time.Second
		g.do(Purge{Object: "y", Group: 0})
		g.do(Purge{Group: 9})
		if !g.r.likelyHolds(m, req) {
			t.Fatal("another purge took the belief")
		}
		g.do(purge)
		g.n += 10 * time.Second
		g.do(Purge{Group: 7}) // news of another forgets none that a belief may predate
		if g.r.likelyHolds(m, req) {
			t.Fatalf("%+v left the belief", purge)
		}
		g.r.recordCopy(m, req, true)
		if !g.r.likelyHolds(m, req) {
			t.Fatal("a copy filled after the purge is not expected to be there")
		}
	}
}

func TestBetaFromWaits(t *testing.T) {
	g := newRig(t)
	if b := g.r.missPenalty(); b != initialMissPenalty {
		t.Fatalf("beta starts at %v", b)
	}
	g.r.parentWait.value, g.r.siblingWait.value = 0.06, 0.02
	if b := g.r.missPenalty(); math.Abs(b-3) > 1e-9 {
		t.Fatalf("beta %v, want 3", b)
	}
}

func TestCopyRecordsAreBounded(t *testing.T) {
	g := newRig(t)
	m := g.r.members["a"]
	for i := uint64(0); i < copyTableSize+100; i++ {
		g.r.recordCopy(m, &request{key: i, class: &g.r.settings.Classes[0]}, true)
	}
	if m.copies.Len() != copyTableSize {
		t.Fatalf("%d copy records, want %d", m.copies.Len(), copyTableSize)
	}
	req := &request{key: copyTableSize + 99, class: &g.r.settings.Classes[1]}
	g.r.now = g.n
	g.r.recordCopy(m, req, true)
	if !g.r.likelyHolds(m, req) {
		t.Fatal("a new belief must count")
	}
	if g.r.now += req.class.FreshFor; g.r.likelyHolds(m, req) {
		t.Fatal("a copy past its fresh time is believed in")
	}
}
