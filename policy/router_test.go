package policy

import (
	"reflect"
	"testing"
	"time"
)

func TestEveryRequestIsFinishedOnce(t *testing.T) {
	for _, result := range []Result{ResultError, ResultRejected, ResultTimeout, ResultConnectFailed, ResultReset,
		ResultCancelled, ResultNotSent, ResultNotFound} {
		for class := 0; class < 3; class++ {
			g := newRig(t)
			acts := g.request(1, "x", class)
			ends := finals(acts)
			for try := 0; fetchOf(acts) != nil; try++ {
				g.n += 600 * ms
				acts = g.do(Outcome{ID: 1, Attempt: try, Result: result, Elapsed: 600 * ms})
				ends += finals(acts)
			}
			if ends != 1 || len(g.r.requests) != 0 {
				t.Errorf("result %v class %d: %d final answers, %d open", result, class, ends, len(g.r.requests))
			}
		}
	}
}

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

// A full link refuses the long request before the short one.
func TestAdmissionByWorthPerSendingTime(t *testing.T) {
	g := newRig(t)
	ask := func(id int64, kb float64) *Fetch {
		return fetchOf(g.do(Request{ID: id, Object: "x", SizeKB: kb, Remaining: 5 * time.Second}))
	}
	short, long := 0, 0
	for i := int64(1); i < 400; i++ {
		if ask(i*2, 100) == nil {
			short++
		}
		if ask(i*2+1, 2000) == nil {
			long++
		}
	}
	if long == 0 || short >= long {
		t.Fatalf("refused %d short and %d long ones", short, long)
	}
}

// A request of a class that was never told still gets its one final answer.
func TestUnknownClassIsAnswered(t *testing.T) {
	g := newRig(t)
	if acts := g.request(1, "x", 9); len(acts) != 1 || acts[0] != (Fail{ID: 1}) {
		t.Fatalf("%+v", acts)
	}
}

// What was decided while a connection came up is looked at again when the first byte goes.
func TestGuardBeforeTheFirstByte(t *testing.T) {
	drain := func(id string) Event {
		return EndpointUpdate{Endpoints: []Endpoint{{ID: id, State: Draining, Zone: 1}}}
	}
	for name, c := range map[string]struct {
		event func(Fetch) Event
		want  Verdict
		age   time.Duration
		join  bool
	}{
		"nothing new":         {func(Fetch) Event { return TimerFired{} }, Verdict{}, 0, true},
		"its target drains":   {func(f Fetch) Event { return drain(f.Target) }, Verdict{RuleDrain, ReasonTargetDraining}, 0, false},
		"its source drains":   {func(f Fetch) Event { return drain(f.Source) }, Verdict{RuleDrain, ReasonSourceDraining}, 0, false},
		"its object purged":   {func(Fetch) Event { return Purge{Object: "x", Age: 70 * ms} }, Verdict{}, 90 * ms, true},
		"its group purged":    {func(Fetch) Event { return Purge{Age: 70 * ms} }, Verdict{}, 90 * ms, true},
		"the client has left": {func(Fetch) Event { return ClientDisconnected{ID: 1} }, Verdict{RuleAnswer, ReasonAnswered}, 0, false},
	} {
		g := newRig(t)
		f := fetchOf(g.request(1, "x", 0))
		g.n += 10 * ms
		g.do(c.event(*f))
		now, verdict := g.r.MaySend(g.n+20*ms, SendInfo{ID: 1, Remaining: time.Second})
		if verdict != c.want || now.MaxAge != c.age || now.CoalesceFill != c.join {
			t.Errorf("%s: %v %+v", name, verdict, now)
		}
	}
	for want, s := range map[Verdict]SendInfo{
		{RuleAnswer, ReasonAttemptEnded}:                   {ID: 9, Remaining: time.Second},
		{RuleClientDisconnected, ReasonClientDisconnected}: {ID: 1, Remaining: time.Second, ClientDisconnected: true},
		{RuleDeadline, ReasonDeadlineExceeded}:             {ID: 1},
	} {
		g := newRig(t)
		g.request(1, "x", 0)
		if _, verdict := g.r.MaySend(g.n, s); verdict != want {
			t.Errorf("%+v: %+v, want %+v", s, verdict, want)
		}
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
	learned := g.r.classWork["old"].value
	write := fetchOf(g.request(2, "y", 2))

	later := set
	later.Classes = []Class{{Name: "write", Idempotency: NonIdempotent, Uncacheable: true, PriorityWeight: 3, LatencyObjective: 500 * ms}, set.Classes[0]}
	later.MaxAttempts = 1
	g.do(later)
	if f := fetchOf(g.request(3, "z", 0)); f == nil || f.Target != "o" || f.Target != write.Target {
		t.Errorf("the write, by its new number: %+v", f)
	}
	if g.r.classWork["old"].value != learned || learned == 0 || g.r.requests[2].class.Name != "write" || g.r.requests[2].Class != 2 {
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
