package policy

import "testing"

// A cache that fails what others answer is left alone, and comes back by a good answer. A request that fails
// wherever it goes is given up, and no cache is suspected for it.
func TestFailuresEjectOnceOthersAnswer(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", CacheStatusFilled).Target
	for id := int64(2); id < 4; id++ {
		if f := fetchOf(g.request(id, "x", 0)); f.Target != home {
			t.Fatalf("request %d goes to %s, not %s", id, f.Target, home)
		}
		f := fetchOf(g.do(Outcome{ID: id, Result: ResultError, Elapsed: ms}))
		if f == nil || f.Target != home {
			t.Fatalf("after one error want %s again, got %+v", home, f)
		}
		f = fetchOf(g.do(Outcome{ID: id, Attempt: 1, Result: ResultError, Elapsed: ms}))
		if f == nil || f.Target == home {
			t.Fatalf("after a second error: %+v", f)
		}
		g.do(Outcome{ID: id, Attempt: 2, Result: ResultOK, CacheStatus: CacheStatusFilled, Elapsed: 150 * ms, RequestFinished: true})
	}
	f := fetchOf(g.request(4, "x", 0))
	if f.Target == home {
		t.Fatalf("%s failed two requests that others answered, and gets a third", home)
	}
	g.do(Outcome{ID: 4, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: 100 * ms, RequestFinished: true})
	g.n += baseEjectionTime
	g.serve(5, "x", CacheStatusHit)
	if g.r.isEjected(g.r.endpoints[home]) {
		t.Fatal("a good answer must bring it back")
	}

	g.request(6, "y", 0)
	attempts, acts := 1, []Action(nil)
	for ; finals(acts) == 0; attempts++ {
		acts = g.do(Outcome{ID: 6, Attempt: attempts - 1, Result: ResultError, Elapsed: ms})
	}
	if attempts-1 != maxFailedAttempts {
		t.Errorf("%d attempts", attempts-1)
	}
	for id, m := range g.r.endpoints {
		if g.r.isEjected(m) {
			t.Errorf("%s is suspected for a request that no cache can use", id)
		}
	}
}

// A parent that keeps failing is trusted again one doubt for each answer, not all at once. Incident ia695e1.
func TestEjectionsDecayOneByOne(t *testing.T) {
	g := newRig(t)
	m := g.r.endpoints["p"]
	for i := 0; i < 3; i++ {
		m.eject(g.n)
		g.n = m.ejectedUntil
	}
	m.recordResponse(g.n)
	m.link.inFlight = []*attempt{{request: &request{}}}
	if !g.r.isEjected(m) {
		t.Fatal("one good answer after three doubts must not bring full trust")
	}
	m.recordResponse(g.n)
	m.recordResponse(g.n)
	if g.r.isEjected(m) {
		t.Fatal("three good answers must")
	}
}
