package policy

import (
	"testing"
	"time"
)

// Lost answers: a cache that does the work and answers others is heard all the time. An attempt that later ones
// overtook is asked for again where the copy is, beside the first where the site allows that.
func TestLostAnswerIsRetried(t *testing.T) {
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
		if n := len(g.r.endpoints[home].link.inFlight); n != 1 {
			t.Fatalf("%d on the link: the lost one must not make it look full", n)
		}
	}
}

// An object far larger than most is no lost answer, though smaller ones that were asked for later have come: it
// would be sent twice, and fetched from afar twice, which no other request pays as much for.
func TestLargeObjectIsNotOverdue(t *testing.T) {
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
func TestLostWriteIsNotRetried(t *testing.T) {
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
