package policy

import (
	"testing"
	"time"
)

// An unsafe request that may have run gets no second attempt and no refusal.
func TestUnsafeFailsOnce(t *testing.T) {
	for _, c := range []struct {
		result Result
		again  bool
	}{{ResultReset, false}, {ResultTimeout, false}, {ResultError, false}, {ResultRejected, true},
		{ResultConnectFailed, true}} {
		g := newRig(t)
		if f := fetchOf(g.request(1, "w", 2)); f == nil || f.Target != "o" {
			t.Fatalf("a write goes to the origin, got %+v", f)
		}
		acts := g.do(Outcome{ID: 1, Result: c.result, Elapsed: 10 * ms})
		if again := fetchOf(acts) != nil; again != c.again {
			t.Errorf("result %v: sent again %v", c.result, again)
		}
		if !c.again {
			if len(acts) != 1 || acts[0] != (Fail{ID: 1}) {
				t.Errorf("result %v: %+v, want one Fail", c.result, acts)
			}
		}
	}
}

// One reset is the connection's, not the cache's: the next attempt goes to the same cache. Incident i39a6ba.
func TestOneResetIsNoDeath(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", CacheStatusFilled).Target
	g.request(2, "x", 0)
	f := fetchOf(g.do(Outcome{ID: 2, Result: ResultReset, Elapsed: 20 * ms}))
	if f == nil || f.Target != home {
		t.Fatalf("after one reset want %s again, got %+v", home, f)
	}
	f = fetchOf(g.do(Outcome{ID: 2, Attempt: 1, Result: ResultReset, Elapsed: 20 * ms}))
	if f == nil || f.Target == home {
		t.Fatalf("after a second reset want another cache, got %+v", f)
	}
}

// A keyed request that may have run is repeated only in its scope and within its window.
func TestKeyedScopeAndWindow(t *testing.T) {
	first := &member{Endpoint: Endpoint{ID: "a", Zone: 1, Cell: 3}}
	for _, c := range []struct {
		scope DeduplicationScope
		to    Endpoint
		after time.Duration
		want  bool
	}{
		{ScopeAll, Endpoint{Zone: 2}, time.Second, true},
		{ScopeAll, Endpoint{Zone: 2}, 5 * time.Second, false},
		{ScopeZone, Endpoint{Zone: 1}, time.Second, true},
		{ScopeZone, Endpoint{Zone: 2}, time.Second, false},
		{ScopeCell, Endpoint{Zone: 1, Cell: 3}, time.Second, true},
		{ScopeCell, Endpoint{Zone: 1, Cell: 4}, time.Second, false},
	} {
		r := New(world(), 1)
		req := &request{class: &Class{Idempotency: IdempotencyKey, DeduplicationScope: c.scope, DeduplicationWindow: 5 * time.Second}}
		req.mayHaveRun = &attempt{target: first, sent: time.Hour}
		r.now = time.Hour + c.after
		if got := r.mayRepeat(req, &member{Endpoint: c.to}); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
		if got := r.mayRefuse(req); got != (c.scope == ScopeAll) {
			t.Errorf("scope %v: may refuse %v", c.scope, got)
		}
	}
}

// Lost answers: a cache that does the work and answers others is heard all the time. An attempt that later ones
// overtook is asked for again where the copy is, beside the first where the site allows that.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	for _, second := range []bool{true, false} {
		set := world()
		set.Hedging = second
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		g.do(everybody())
		home := g.serve(1, "x", CacheStatusFilled).Target
		acts := g.request(2, "x", 0)
		due := acts[1].(StartTimer)
		g.n += ms
		g.serve(3, "x", CacheStatusHit)
		g.n += due.In
		acts = g.do(TimerFired{Token: due.Token})
		if !second {
			if len(acts) != 1 || acts[0] != (Cancel{ID: 2}) {
				t.Fatalf("want the wait ended first, got %+v", acts)
			}
			acts = g.do(Outcome{ID: 2, Result: ResultCancelled})
		}
		if f := fetchOf(acts); f == nil || f.Target != home {
			t.Fatalf("want %s asked again, got %+v", home, acts)
		}
		if n := len(g.r.members[home].link.inFlight); n != 1 {
			t.Fatalf("%d on the link: the lost one must not make it look full", n)
		}
	}
}

// An object far larger than most is no lost answer, though smaller ones that were asked for later have come: it
// would be sent twice, and fetched from afar twice, which no other request pays as much for.
func TestLargeObjectIsNotTakenForLost(t *testing.T) {
	g := newRig(t)
	ask := func(id int64, object string) []Action {
		return g.do(Request{ID: id, Object: object, Remaining: 6 * time.Second})
	}
	for id := range int64(20) {
		ask(id+1, "small")
		g.n += 100 * ms
		g.do(Outcome{ID: id + 1, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: 100 * ms, RequestFinished: true})
	}
	due := ask(30, "large")[1].(StartTimer)
	if due.In < 700*ms {
		t.Errorf("one seven times as large as most is taken for lost after %v", due.In)
	}
}

// A write whose answer is lost is not sent again, nor given up.
func TestLostWriteIsLeft(t *testing.T) {
	g := newRig(t)
	due := g.request(1, "w", 2)[1].(StartTimer)
	g.n += ms
	g.request(2, "w", 2)
	g.do(Outcome{ID: 2, Result: ResultOK, Elapsed: ms, RequestFinished: true})
	g.n += due.In
	if acts := g.do(TimerFired{Token: due.Token}); len(acts) != 0 {
		t.Fatalf("%+v", acts)
	}
}

// Caches that fail a third of what they are asked, at once and alike, cost nobody an answer: the bound on further
// attempts is there for overload, not for this.
func TestEveryThirdAttemptFails(t *testing.T) {
	g, attempts := newRig(t), 0
	for id := range int64(300) {
		g.n += 20 * ms
		f := fetchOf(g.request(id+1, "x", 0))
		for f != nil {
			attempts++
			if attempts%3 != 0 {
				g.do(Outcome{ID: id + 1, Attempt: len(g.r.requests[id+1].attempts) - 1, Result: ResultOK, CacheStatus: CacheStatusHit, RequestFinished: true})
				break
			}
			acts := g.do(Outcome{ID: id + 1, Attempt: len(g.r.requests[id+1].attempts) - 1, Result: ResultError})
			if f = fetchOf(acts); f == nil {
				t.Fatalf("request %d was given up after %d attempts in all: %+v", id+1, attempts, acts)
			}
		}
	}
}

// The time for repeats is looked at again when a repeat's first byte goes: it may have waited for its connection.
func TestRepeatIsNotBegunAfterItsWindow(t *testing.T) {
	for _, late := range []bool{false, true} {
		set := world()
		set.Classes[0] = Class{Idempotency: IdempotencyKey, DeduplicationScope: ScopeAll, DeduplicationWindow: time.Second, LatencyObjective: 2 * time.Second, PriorityWeight: 1}
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		g.do(everybody())
		if fetchOf(g.request(1, "x", 0)) == nil {
			t.Fatal("not sent")
		}
		if _, verdict := g.r.MaySend(g.n, SendInfo{ID: 1, Remaining: time.Second}); !verdict.Allowed() {
			t.Fatal("the first attempt may go at any time")
		}
		g.n += 900 * ms
		if fetchOf(g.do(Outcome{ID: 1, Attempt: 0, Result: ResultReset})) == nil {
			t.Fatal("not repeated within its window")
		}
		if late {
			g.n += 200 * ms
		}
		_, verdict := g.r.MaySend(g.n, SendInfo{ID: 1, Attempt: 1, Remaining: time.Second})
		if verdict.Allowed() == late || late && verdict != (Verdict{RuleDuplicate, ReasonWindowExpired}) {
			t.Errorf("late %v: %+v", late, verdict)
		}
	}
}
