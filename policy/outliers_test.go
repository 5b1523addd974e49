package policy

import (
	"testing"
	"time"
)

// A cache that fails requests which others answer is ejected until its next answer. A request that fails at
// every cache gets its final answer, and no cache is ejected for it.
func TestFailuresEjectOnceOthersAnswer(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	for id := int64(2); id < 4; id++ {
		if f := fetchOf(h.request(id, "x", 0)); f.Target != home {
			t.Fatalf("request %d went to %s, want %s", id, f.Target, home)
		}
		f := fetchOf(h.handle(Outcome{ID: id, Result: ResultError, Elapsed: ms}))
		if f == nil || f.Target != home {
			t.Fatalf("after one error want %s again, got %+v", home, f)
		}
		f = fetchOf(h.handle(Outcome{ID: id, Attempt: 1, Result: ResultError, Elapsed: ms}))
		if f == nil || f.Target == home {
			t.Fatalf("after a second error got %+v, want another cache", f)
		}
		h.handle(Outcome{ID: id, Attempt: 2, Result: ResultOK, CacheStatus: CacheStatusFilled,
			Elapsed: 150 * ms, RequestFinished: true})
	}
	f := fetchOf(h.request(4, "x", 0))
	if f.Target == home {
		t.Fatalf("%s receives a third request after two that it failed and others answered", home)
	}
	h.handle(Outcome{ID: 4, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: 100 * ms,
		RequestFinished: true})
	h.now += baseEjectionTime
	h.serve(5, "x", CacheStatusHit)
	if h.router.isEjected(h.router.endpoints[home]) {
		t.Fatal("an answer did not end the ejection")
	}

	h.request(6, "y", 0)
	attempts, actions := 1, []Action(nil)
	for ; countFinalAnswers(actions) == 0; attempts++ {
		actions = h.handle(Outcome{ID: 6, Attempt: attempts - 1, Result: ResultError, Elapsed: ms})
	}
	if attempts-1 != maxFailedAttempts {
		t.Errorf("%d attempts, want maxFailedAttempts", attempts-1)
	}
	for id, e := range h.router.endpoints {
		if h.router.isEjected(e) {
			t.Errorf("%s is ejected for a request that fails everywhere", id)
		}
	}
}

// Each response of an endpoint lowers its count of ejections by one, not to 0 at once. Incident ia695e1.
func TestEjectionsDecayOneByOne(t *testing.T) {
	h := newHarness(t)
	e := h.router.endpoints["p"]
	for i := 0; i < 3; i++ {
		e.eject(h.now)
		h.now = e.ejectedUntil
	}
	e.recordResponse(h.now)
	e.link.inFlight = []*attempt{{request: &request{}}}
	if !h.router.isEjected(e) {
		t.Fatal("one response cleared three ejections")
	}
	e.recordResponse(h.now)
	e.recordResponse(h.now)
	if h.router.isEjected(e) {
		t.Fatal("three responses did not clear three ejections")
	}
}

// restart updates the endpoint list with an endpoint that has restarted now.
func (h *harness) restart(id string) {
	listedEndpoint := h.router.endpoints[id].Endpoint
	listedEndpoint.Started = h.now
	h.handle(EndpointUpdate{Endpoints: []Endpoint{listedEndpoint}})
}

// failOnce sends a request that fails whenever it is sent to the given endpoint, and that another endpoint
// answers.
func (h *harness) failOnce(id int64, object, endpoint string) {
	h.t.Helper()
	f := fetchOf(h.request(id, object, 0))
	for attempt := 0; ; attempt++ {
		if f == nil {
			h.t.Fatalf("request %d was not answered", id)
		}
		if f.Target != endpoint {
			h.handle(Outcome{ID: id, Attempt: attempt, Result: ResultOK, CacheStatus: CacheStatusFilled,
				Elapsed: 150 * ms, RequestFinished: true})
			return
		}
		f = fetchOf(h.handle(Outcome{ID: id, Attempt: attempt, Result: ResultError, Elapsed: ms}))
	}
}

// Guards against a new process that is ejected for the failures of the process before it. The failures of
// requests that were sent before a restart do not count, whenever the requests are answered.
func TestFailuresEndWithARestart(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	ejected := func() bool { return h.router.isEjected(h.router.endpoints[home]) }
	h.failOnce(2, "x", home)
	h.now += time.Minute
	h.restart(home)
	h.now += time.Minute
	h.failOnce(3, "x", home)
	if ejected() {
		t.Error("ejected for one failure before its restart and one after it")
	}

	h.serve(4, "x", CacheStatusHit)
	for id := int64(5); id < 7; id++ {
		h.request(id, "x", 0)
		h.handle(Outcome{ID: id, Result: ResultError, Elapsed: ms})
	}
	h.now += ms
	h.restart(home)
	for id := int64(5); id < 7; id++ { // the second attempts end after the restart
		f := fetchOf(h.handle(Outcome{ID: id, Attempt: 1, Result: ResultError, Elapsed: ms}))
		for attempt := 2; f != nil; attempt++ {
			result := ResultOK
			if f.Target == home {
				result = ResultError
			}
			f = fetchOf(h.handle(Outcome{ID: id, Attempt: attempt, Result: result,
				CacheStatus: CacheStatusFilled, Elapsed: ms, RequestFinished: result == ResultOK}))
		}
	}
	if ejected() {
		t.Error("ejected for requests that were sent before its restart")
	}
	h.request(7, "x", 0)
	h.now += ms
	h.restart(home)
	h.handle(Outcome{ID: 7, Result: ResultConnectFailed})
	if ejected() {
		t.Error("ejected for a failed connection to the process before its restart")
	}
}
