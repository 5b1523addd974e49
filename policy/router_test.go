package policy

import (
	"reflect"
	"testing"
	"time"
)

func TestDeterministic(t *testing.T) {
	run := func() (all [][]Action) {
		g := newRig(t)
		for i := int64(1); i < 300; i++ {
			all = append(all, g.request(i, string(rune('a'+i%40)), int(i%3)))
			g.n += 3 * ms
			if i > 20 {
				all = append(all, g.do(Outcome{ID: i - 20, Result: Result(i % 9), Elapsed: 60 * ms, RequestFinished: i%9 == 1}))
			}
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("the same events gave other actions")
	}
}

// New settings may give a class's number to another. What is under way keeps its class, what was learned of a class
// stays with its name, and fewer attempts hold at once.
func TestNewSettings(t *testing.T) {
	set := world()
	for i, name := range []string{"old", "fresh", "write"} {
		set.Classes[i].Name = name
	}
	g := &rig{t: t, r: New(set, 1), n: time.Hour}
	g.do(everybody())
	g.serve(1, "x", CacheStatusHit)
	learned := g.r.classTransferSeconds["old"].value
	write := fetchOf(g.request(2, "y", 2))

	later := set
	later.Classes = []Class{{Name: "write", Idempotency: NonIdempotent, Uncacheable: true, PriorityWeight: 3, LatencyObjective: 500 * ms}, set.Classes[0]}
	later.MaxAttempts = 1
	g.do(later)
	if f := fetchOf(g.request(3, "z", 0)); f == nil || f.Target != "o" || f.Target != write.Target {
		t.Errorf("the write, by its new number: %+v", f)
	}
	if g.r.classTransferSeconds["old"].value != learned || learned == 0 || g.r.requests[2].class.Name != "write" || g.r.requests[2].Class != 2 {
		t.Error("what was learned is gone, or a request has changed its class")
	}
	f := fetchOf(g.request(4, "x", 1))
	if f == nil || f.Target == "o" {
		t.Fatalf("the read, by its new number: %+v", f)
	}
	if acts := g.do(Outcome{ID: 4, Result: ResultRejected}); fetchOf(acts) != nil || finals(acts) != 1 {
		t.Errorf("after the one attempt: %+v", acts)
	}
	if acts := g.request(5, "x", 2); finals(acts) != 1 { // a class that is gone
		t.Errorf("%+v", acts)
	}
	g.do(Outcome{ID: 2, Result: ResultOK, TransferTime: time.Second, RequestFinished: true}) // of the class that had number 2
}
