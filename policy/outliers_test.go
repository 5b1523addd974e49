package policy

import "testing"

// A cache that fails requests which others answer is ejected, and returns with its next good answer. A
// request that fails everywhere is given up, and ejects no cache.
func TestFailuresEjectOnceOthersAnswer(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	for id := int64(2); id < 4; id++ {
		if f := fetchOf(h.request(id, "x", 0)); f.Target != home {
			t.Fatalf("request %d goes to %s, not %s", id, f.Target, home)
		}
		f := fetchOf(h.do(Outcome{ID: id, Result: ResultError, Elapsed: ms}))
		if f == nil || f.Target != home {
			t.Fatalf("after one error want %s again, got %+v", home, f)
		}
		f = fetchOf(h.do(Outcome{ID: id, Attempt: 1, Result: ResultError, Elapsed: ms}))
		if f == nil || f.Target == home {
			t.Fatalf("after a second error: %+v", f)
		}
		h.do(Outcome{ID: id, Attempt: 2, Result: ResultOK, CacheStatus: CacheStatusFilled,
			Elapsed: 150 * ms, RequestFinished: true})
	}
	f := fetchOf(h.request(4, "x", 0))
	if f.Target == home {
		t.Fatalf("%s failed two requests that others answered, and receives a third", home)
	}
	h.do(Outcome{ID: 4, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: 100 * ms,
		RequestFinished: true})
	h.now += baseEjectionTime
	h.serve(5, "x", CacheStatusHit)
	if h.router.isEjected(h.router.endpoints[home]) {
		t.Fatal("a good answer must end the ejection")
	}

	h.request(6, "y", 0)
	attempts, acts := 1, []Action(nil)
	for ; countFinalAnswers(acts) == 0; attempts++ {
		acts = h.do(Outcome{ID: 6, Attempt: attempts - 1, Result: ResultError, Elapsed: ms})
	}
	if attempts-1 != maxFailedAttempts {
		t.Errorf("%d attempts", attempts-1)
	}
	for id, m := range h.router.endpoints {
		if h.router.isEjected(m) {
			t.Errorf("%s is ejected for a request that fails everywhere", id)
		}
	}
}

// Each response of an endpoint makes up for one ejection, not for all at once. Incident ia695e1.
func TestEjectionsDecayOneByOne(t *testing.T) {
	h := newHarness(t)
	m := h.router.endpoints["p"]
	for i := 0; i < 3; i++ {
		m.eject(h.now)
		h.now = m.ejectedUntil
	}
	m.recordResponse(h.now)
	m.link.inFlight = []*attempt{{request: &request{}}}
	if !h.router.isEjected(m) {
		t.Fatal("one response must not make up for three ejections")
	}
	m.recordResponse(h.now)
	m.recordResponse(h.now)
	if h.router.isEjected(m) {
		t.Fatal("three responses must make up for three ejections")
	}
}
