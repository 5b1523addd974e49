package policy

import (
	"math"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// world is a small deployment: three caches, two parents and an origin, one class of each effect.
func world() Settings {
	return Settings{
		Zone: 1, ParentKind: 1, OriginKind: 2, Instances: 1, RoutersInZone: 1, WeightsTold: true,
		FlowKBps: 1000, ZoneLink: 100, Direct: true, CanJoin: true, Siblings: SiblingsZone,
		Classes: []Class{
			{Effect: Safe, Aim: 500 * ms, AimStretch: 2, Worth: 1},
			{Effect: Safe, Aim: 500 * ms, AimStretch: 2, Worth: 1,
				Fresh: 8 * time.Second, Grace: 10 * time.Second},
			{Effect: Unsafe, Aim: 500 * ms, Worth: 3, PassOn: true},
		},
		MaxAttempts: 6, MayCancel: true, MaxComeBack: time.Second,
		ColdShare: 0.2, WarmWithin: 10 * time.Second, FallMultiple: 2, FallWindow: 2 * time.Second,
		ParentColdShare: 0.1, ParentWarmWithin: 20 * time.Second, ParentFallMultiple: 2,
		PurgeGrace: 500 * ms, ClearedWithin: 6 * time.Second,
	}
}

func everybody() MemberList {
	return MemberList{Whole: true, Members: []Member{
		{ID: "a", State: Ready, Zone: 1, Weight: 5}, {ID: "b", State: Ready, Zone: 1, Weight: 5},
		{ID: "c", State: Ready, Zone: 1, Weight: 5},
		{ID: "p", State: Ready, Kind: 1, Weight: 20}, {ID: "q", State: Ready, Kind: 1, Weight: 20},
		{ID: "o", State: Ready, Kind: 2},
	}}
}

// rig drives a router by hand.
type rig struct {
	t *testing.T
	r *Router
	n time.Duration
}

func newRig(t *testing.T) *rig {
	g := &rig{t: t, r: New(world(), 1), n: time.Hour}
	g.do(everybody())
	return g
}

func (g *rig) do(ev Event) []Action { return g.r.Handle(g.n, ev) }

func (g *rig) request(id int64, object string, class int) []Action {
	return g.do(Request{ID: id, Object: object, Class: class, SizeKB: 100, Left: 3 * time.Second})
}

func fetchOf(acts []Action) *Fetch {
	for _, a := range acts {
		if f, ok := a.(Fetch); ok {
			return &f
		}
	}
	return nil
}

func finals(acts []Action) (n int) {
	for _, a := range acts {
		switch a.(type) {
		case Refuse, Fail:
			n++
		}
	}
	return n
}

func (g *rig) serve(id int64, object string, note Note) Fetch {
	f := fetchOf(g.request(id, object, 0))
	if f == nil {
		g.t.Fatalf("request %d was not sent", id)
	}
	g.n += 150 * ms
	g.do(Outcome{ID: id, Result: ResultOK, Note: note, Took: 150 * ms, SourceWait: 20 * ms, Finished: true})
	return *f
}

func TestSameObjectSameCacheAndParent(t *testing.T) {
	g := newRig(t)
	first := g.serve(1, "x", NoteFilled)
	second := g.serve(2, "x", NoteHit)
	if first.Target != second.Target || first.Source != second.Source {
		t.Fatalf("%+v then %+v", first, second)
	}
	if first.Source != "p" && first.Source != "q" {
		t.Fatalf("a miss nobody is expected to hold is filled from %q, not a parent", first.Source)
	}
}

// A cache that drains hands its objects to the next in hash order, which fills from it no more.
func TestDrainedIsNeitherTargetNorSource(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", NoteFilled).Target
	g.do(MemberList{Members: []Member{{ID: home, State: Draining, Zone: 1, Weight: 5}}})
	f := fetchOf(g.request(2, "x", 0))
	if f.Target == home || f.Source == home {
		t.Fatalf("%s drains and is used: %+v", home, f)
	}
}

// A cache that joins owns objects that a sibling still holds: the sibling fills.
func TestReturnedCacheIsFilledFromSibling(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", NoteFilled).Target
	g.do(MemberList{Members: []Member{{ID: home, State: Gone, Zone: 1, Weight: 5}}})
	next := g.serve(2, "x", NoteFilled).Target
	g.do(MemberList{Members: []Member{{ID: home, State: Ready, Zone: 1, Weight: 5}}})
	f := fetchOf(g.request(3, "x", 0))
	if f.Target != home || f.Source != next {
		t.Fatalf("want %s filled from %s, got %+v", home, next, f)
	}
	acts := g.do(Outcome{ID: 3, Result: ResultMiss, Note: NoteSourceLacks, Took: 10 * ms})
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

func TestRatioPlainThenSmoothed(t *testing.T) {
	var r ratio
	for i := 0; i < epochFills; i++ {
		r.add(i < 5)
	}
	plain := 5.0 / epochFills
	if math.Abs(r.value-plain) > 1e-9 {
		t.Fatalf("first epoch %v, want %v", r.value, plain)
	}
	for i := 0; i < epochFills-1; i++ {
		r.add(true)
	}
	if math.Abs(r.value-plain) > 1e-9 {
		t.Fatalf("moved within an epoch: %v", r.value)
	}
	r.add(true)
	if want := plain + epochWeight*(1-plain); math.Abs(r.value-want) > 1e-9 {
		t.Fatalf("second epoch %v, want %v", r.value, want)
	}
}

// An unsafe request that may have run gets no second attempt and no refusal.
func TestUnsafeFailsOnce(t *testing.T) {
	for _, c := range []struct {
		result Result
		again  bool
	}{{ResultReset, false}, {ResultTimeout, false}, {ResultError, false}, {ResultFull, true},
		{ResultConnectFailed, true}} {
		g := newRig(t)
		if f := fetchOf(g.request(1, "w", 2)); f == nil || f.Target != "o" {
			t.Fatalf("a write goes to the origin, got %+v", f)
		}
		acts := g.do(Outcome{ID: 1, Result: c.result, Took: 10 * ms})
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

// After a purge no copy older than it will do, and no fill is joined that may be older.
func TestPurgeBoundsAge(t *testing.T) {
	g := newRig(t)
	g.do(Purge{Object: "x", Age: 100 * ms})
	g.n += 50 * ms
	f := fetchOf(g.request(1, "x", 0))
	if f.MaxAge != 150*ms || !f.Join {
		t.Fatalf("want age 150 ms, and a join as all that miss at once would fill, got %+v", f)
	}
	f = fetchOf(g.do(Outcome{ID: 1, Result: ResultError, Took: 20 * ms})) // what it joined was too old, perhaps
	if f == nil || f.MaxAge != 150*ms || f.Join {
		t.Fatalf("want age 150 ms and no join in a further attempt, got %+v", f)
	}
	g.n += 7 * time.Second
	if f = fetchOf(g.request(2, "x", 0)); f.MaxAge != 0 || !f.Join {
		t.Fatalf("the purge is over, got %+v", f)
	}
	g.do(Purge{Group: 0})
	if f = fetchOf(g.request(3, "y", 1)); f.MaxAge <= 0 || f.MaxAge > ms {
		t.Fatalf("age 0 would mean the default, got %v", f.MaxAge)
	}
}

// A cold cache gets no more than its budget.
func TestColdCacheBudget(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", NoteFilled).Target
	g.do(MemberList{Members: []Member{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: g.n}}})
	sent := 0
	for i := int64(2); i < 60; i++ {
		if f := fetchOf(g.request(i, "x", 0)); f != nil && f.Target == home {
			sent++
		}
	}
	// 0.1 s each; 2 times a fifth of 5 transfers for 2 s is 4 s of sending.
	if sent == 0 || float64(sent)*0.1 > 4 {
		t.Fatalf("%d sent to a cold cache", sent)
	}
}

func TestEveryRequestIsFinishedOnce(t *testing.T) {
	for _, result := range []Result{ResultError, ResultFull, ResultTimeout, ResultConnectFailed, ResultReset,
		ResultCancelled, ResultMoot, ResultMiss} {
		for class := 0; class < 3; class++ {
			g := newRig(t)
			acts := g.request(1, "x", class)
			ends := finals(acts)
			for try := 0; fetchOf(acts) != nil; try++ {
				g.n += 600 * ms
				acts = g.do(Outcome{ID: 1, Attempt: try, Result: result, Took: 600 * ms})
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
				all = append(all, g.do(Outcome{ID: i - 20, Result: Result(i % 9), Took: 60 * ms, Finished: i%9 == 1}))
			}
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("the same events gave other actions")
	}
}

// One reset is the connection's, not the cache's: the next attempt goes to the same cache. Incident i39a6ba.
func TestOneResetIsNoDeath(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", NoteFilled).Target
	g.request(2, "x", 0)
	f := fetchOf(g.do(Outcome{ID: 2, Result: ResultReset, Took: 20 * ms}))
	if f == nil || f.Target != home {
		t.Fatalf("after one reset want %s again, got %+v", home, f)
	}
	f = fetchOf(g.do(Outcome{ID: 2, Attempt: 1, Result: ResultReset, Took: 20 * ms}))
	if f == nil || f.Target == home {
		t.Fatalf("after a second reset want another cache, got %+v", f)
	}
}

// A cache that fails what others answer is left alone, and comes back by a good answer. A request that fails
// wherever it goes is given up, and no cache is suspected for it.
func TestFailuresCountOnceOthersAnswer(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", NoteFilled).Target
	for id := int64(2); id < 4; id++ {
		if f := fetchOf(g.request(id, "x", 0)); f.Target != home {
			t.Fatalf("request %d goes to %s, not %s", id, f.Target, home)
		}
		f := fetchOf(g.do(Outcome{ID: id, Result: ResultError, Took: ms}))
		if f == nil || f.Target != home {
			t.Fatalf("after one error want %s again, got %+v", home, f)
		}
		f = fetchOf(g.do(Outcome{ID: id, Attempt: 1, Result: ResultError, Took: ms}))
		if f == nil || f.Target == home {
			t.Fatalf("after a second error: %+v", f)
		}
		g.do(Outcome{ID: id, Attempt: 2, Result: ResultOK, Note: NoteFilled, Took: 150 * ms, Finished: true})
	}
	f := fetchOf(g.request(4, "x", 0))
	if f.Target == home {
		t.Fatalf("%s failed two requests that others answered, and gets a third", home)
	}
	g.do(Outcome{ID: 4, Result: ResultOK, Note: NoteHit, Took: 100 * ms, Finished: true})
	g.n += firstSuspicion
	g.serve(5, "x", NoteHit)
	if !g.r.healthy(g.r.members[home]) {
		t.Fatal("a good answer must bring it back")
	}

	g.request(6, "y", 0)
	attempts, acts := 1, []Action(nil)
	for ; finals(acts) == 0; attempts++ {
		acts = g.do(Outcome{ID: 6, Attempt: attempts - 1, Result: ResultError, Took: ms})
	}
	if attempts-1 != maxFailures {
		t.Errorf("%d attempts", attempts-1)
	}
	for id, m := range g.r.members {
		if !g.r.healthy(m) {
			t.Errorf("%s is suspected for a request that no cache can use", id)
		}
	}
}

// A refusing origin lowers its limit: further misses ask the parent only for what it holds.
func TestOriginLimitFalls(t *testing.T) {
	g := newRig(t)
	for i := int64(1); i < 8; i++ {
		if fetchOf(g.request(i, string(rune('a'+i)), 0)).HeldOnly {
			t.Fatal("the limit is reached before any failure")
		}
	}
	g.do(Outcome{ID: 1, Result: ResultError, Note: NoteOriginFailed, Took: 20 * ms})
	if f := fetchOf(g.request(20, "new", 0)); f == nil || !f.HeldOnly {
		t.Fatalf("the origin failed and is asked on: %+v", f)
	}
}

// With every cache of the zone suspect a request goes straight to a parent.
func TestDeadZoneGoesToParent(t *testing.T) {
	g := newRig(t)
	for _, id := range []string{"a", "b", "c"} {
		g.r.members[id].markSuspect(g.n)
	}
	if f := fetchOf(g.request(1, "x", 0)); f.Target != "p" && f.Target != "q" || f.Source != "o" {
		t.Fatalf("%+v", f)
	}
}

// A full link refuses the long request before the short one.
func TestAdmissionByWorthPerSendingTime(t *testing.T) {
	g := newRig(t)
	ask := func(id int64, kb float64) *Fetch {
		return fetchOf(g.do(Request{ID: id, Object: "x", SizeKB: kb, Left: 5 * time.Second}))
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

// A keyed request that may have run is repeated only in its scope and within its window.
func TestKeyedScopeAndWindow(t *testing.T) {
	first := &member{Member: Member{ID: "a", Zone: 1, Cell: 3}}
	for _, c := range []struct {
		scope Scope
		to    Member
		after time.Duration
		want  bool
	}{
		{ScopeAll, Member{Zone: 2}, time.Second, true},
		{ScopeAll, Member{Zone: 2}, 5 * time.Second, false},
		{ScopeZone, Member{Zone: 1}, time.Second, true},
		{ScopeZone, Member{Zone: 2}, time.Second, false},
		{ScopeCell, Member{Zone: 1, Cell: 3}, time.Second, true},
		{ScopeCell, Member{Zone: 1, Cell: 4}, time.Second, false},
	} {
		r := New(world(), 1)
		req := &request{class: &Class{Effect: Keyed, Scope: c.scope, Window: 5 * time.Second}}
		req.mayHaveRun = &attempt{target: first, sent: time.Hour}
		r.now = time.Hour + c.after
		if got := r.mayRepeat(req, &member{Member: c.to}); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
		if got := r.mayRefuse(req); got != (c.scope == ScopeAll) {
			t.Errorf("scope %v: may refuse %v", c.scope, got)
		}
	}
}

// An answer that waited at the origin for longer than the aim lowers the limit as well. Incident i058414.
func TestSlowOriginLowersLimit(t *testing.T) {
	g := newRig(t)
	for i := int64(1); i < 8; i++ {
		g.request(i, string(rune('a'+i)), 0)
	}
	before := g.r.originLimiter.limit
	g.n += 700 * ms
	g.do(Outcome{ID: 1, Result: ResultOK, Note: NoteFilledByOrigin, Took: 700 * ms, SourceWait: 600 * ms,
		Finished: true})
	if g.r.originLimiter.limit >= before {
		t.Fatalf("limit %v after a slow answer, %v before", g.r.originLimiter.limit, before)
	}
	after := g.r.originLimiter.limit
	g.do(Outcome{ID: 2, Result: ResultOK, Note: NoteFilledByOrigin, Took: 700 * ms, SourceWait: 50 * ms,
		Finished: true})
	if g.r.originLimiter.limit <= after {
		t.Fatal("a quick answer of the origin must raise the limit")
	}
}

// A parent that keeps failing is trusted again one doubt for each answer, not all at once. Incident ia695e1.
func TestTrustComesBackSlowly(t *testing.T) {
	g := newRig(t)
	m := g.r.members["p"]
	for i := 0; i < 3; i++ {
		m.markSuspect(g.n)
		g.n = m.suspectUntil
	}
	m.markHealthy(g.n)
	m.link.inFlight = []*attempt{{request: &request{}}}
	if g.r.healthy(m) {
		t.Fatal("one good answer after three doubts must not bring full trust")
	}
	m.markHealthy(g.n)
	m.markHealthy(g.n)
	if !g.r.healthy(m) {
		t.Fatal("three good answers must")
	}
}

// A restarted cache is empty: no belief in it is left, and its ratio starts anew.
func TestRestartClearsCopyRecords(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", NoteFilled).Target
	m := g.r.members[home]
	m.misindication.add(true)
	if m.copies.Len() != 1 {
		t.Fatalf("%d copy records", m.copies.Len())
	}
	g.do(MemberList{Members: []Member{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: g.n}}})
	if m.copies.Len() != 0 || m.misindication != (ratio{}) {
		t.Fatalf("%d copy records, ratio %+v after a restart", m.copies.Len(), m.misindication)
	}
}

// A purge of the object, or of its group, ends the records of its copies; others stay.
func TestPurgeClearsCopyRecords(t *testing.T) {
	for _, purge := range []Purge{{Object: "x", Group: 0}, {Group: 0}} {
		g := newRig(t)
		m := g.r.members[g.serve(1, "x", NoteFilled).Target]
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

// With many routers a share of a link is under one transfer; an idle link must not look full for it. i0f9a26.
func TestManyRoutersShareALink(t *testing.T) {
	set := world()
	set.Instances, set.RoutersInZone = 200, 5
	g := &rig{t: t, r: New(set, 1), n: time.Hour}
	g.do(everybody())
	f := fetchOf(g.do(Request{ID: 1, Object: "x", SizeKB: 300, Left: 3 * time.Second}))
	if f == nil || f.Source == "o" {
		t.Fatalf("nothing is under way and the first miss is not filled from a parent: %+v", f)
	}
	link := &g.r.members["a"].link
	for i := 0; i < 4; i++ {
		link.enter(&attempt{request: &request{work: 0.1}, target: g.r.members["a"]}, g.n)
	}
	if now, later := link.transferTime(g.n, 0.1, 1), link.transferTime(g.n+20*time.Second, 0.1, 1); later < 3*now {
		t.Fatalf("lasting use by one router tells of the others: %v then %v", now, later)
	}
}

// Means start plain: one large first request must not stand for the class. Incident iddf016.
func TestMeanStartsPlain(t *testing.T) {
	var m mean
	for _, v := range []float64{1, 3, 5} {
		m.add(v, requestSamples)
	}
	if m.value != 3 {
		t.Fatalf("mean of 1, 3 and 5 is %v", m.value)
	}
}

// Routers rank siblings alike: one whose link is full is not asked to fill too.
func TestHerdingGuard(t *testing.T) {
	g := newRig(t)
	r := g.r
	req := &request{Request: Request{Object: "x"}, class: &r.settings.Classes[0], key: 7, work: 0.1, aim: g.n + 500*ms}
	holder := r.members["b"]
	r.recordCopy(holder, req, true)
	if r.chooseSibling(req, r.members["a"]) != holder {
		t.Fatal("an idle holder is named")
	}
	for i := 0; i < 30; i++ {
		holder.link.inFlight = append(holder.link.inFlight, &attempt{request: req, target: holder})
	}
	if s := r.chooseSibling(req, r.members["a"]); s != nil {
		t.Fatalf("%s is full and is named", s.ID)
	}
}

// A cache with too many bytes under way is passed over for the next in hash order (bounded load).
func TestBoundedLoadPassesOver(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", NoteFilled).Target
	m := g.r.members[home]
	for i := 0; i < 40; i++ {
		m.link.inFlight = append(m.link.inFlight, &attempt{request: &request{work: 0.1}, target: m})
	}
	if f := fetchOf(g.request(2, "x", 0)); f == nil || f.Target == home {
		t.Fatalf("%s is full: %+v", home, f)
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
	if g.r.now += req.class.Fresh; g.r.likelyHolds(m, req) {
		t.Fatal("a copy past its fresh time is believed in")
	}
}

// A request of a class that was never told still gets its one final answer.
func TestUnknownClassIsAnswered(t *testing.T) {
	g := newRig(t)
	if acts := g.request(1, "x", 9); len(acts) != 1 || acts[0] != (Fail{ID: 1}) {
		t.Fatalf("%+v", acts)
	}
}

// What answers taught of a link bounds the cold budget after a restart too.
func TestLearnedShareOutlivesRestart(t *testing.T) {
	g := newRig(t)
	m := g.r.members["a"]
	for i := 0; i < 20; i++ {
		m.link.learnCapacity(0.5)
	}
	learned := m.link.capacity
	g.do(MemberList{Members: []Member{{ID: "a", State: Ready, Zone: 1, Weight: 5, Started: g.n}}})
	if m.link.capacity != learned || learned >= m.link.nominal {
		t.Fatalf("share %v after the restart, %v before", m.link.capacity, learned)
	}
}

// A parent whose size is not told does not grow with the number of routers: the cold budgets of all of them
// together stay inside what it can bear. Incident iddf016.
func TestColdParentBudgetOfAllRouters(t *testing.T) {
	set := world()
	set.Instances, set.RoutersInZone, set.WeightsTold = 100, 5, false
	sent := 0
	for i := range set.Instances {
		g := &rig{t: t, r: New(set, uint64(i)), n: time.Hour}
		list := everybody()
		list.Members[3].Started, list.Members[4].State = g.n, Gone
		g.do(list)
		for id := int64(1); id < 20; id++ {
			if f := fetchOf(g.request(id, string(rune('a'+id)), 0)); f != nil && f.Source == "p" {
				sent++
			}
		}
	}
	// 0.1 s each; three caches of unknownCap transfers draw 6, a tenth of them cold, twice that for 2 s.
	if most := fillShare * 3 * defaultCapacity * 0.1 * 2 * 2; float64(sent)*0.1 > most {
		t.Fatalf("%d sent to a cold parent by 100 routers", sent)
	}
}

// Lost answers: a cache that does the work and answers others is heard all the time. An attempt that later ones
// overtook is asked for again where the copy is, beside the first where the site allows that.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	for _, second := range []bool{true, false} {
		set := world()
		set.SecondCopies = second
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		g.do(everybody())
		home := g.serve(1, "x", NoteFilled).Target
		acts := g.request(2, "x", 0)
		due := acts[1].(StartTimer)
		g.n += ms
		g.serve(3, "x", NoteHit)
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
		return g.do(Request{ID: id, Object: object, Left: 6 * time.Second})
	}
	for id := range int64(20) {
		ask(id+1, "small")
		g.n += 100 * ms
		g.do(Outcome{ID: id + 1, Result: ResultOK, Note: NoteHit, Took: 100 * ms, Finished: true})
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
	g.do(Outcome{ID: 2, Result: ResultOK, Took: ms, Finished: true})
	g.n += due.In
	if acts := g.do(TimerFired{Token: due.Token}); len(acts) != 0 {
		t.Fatalf("%+v", acts)
	}
}

// A parent at the own hub is asked far more than one further off; a lost hub still fails over to others.
func TestNearParentsFirst(t *testing.T) {
	for _, c := range []struct {
		hubs       []int
		near, most int
	}{{[]int{0, 0, 2}, 60, 100}, {nil, 20, 80}, {[]int{-7, 0, 99}, 0, 100}, {[]int{0}, 20, 80}} {
		set := world()
		set.ZoneHubs = c.hubs
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		list := everybody()
		list.Members[4].Zone = 2
		g.do(list)
		near := 0
		for i := range 100 {
			req := &request{Request: Request{Object: "x"}, class: &g.r.settings.Classes[0], key: mixHash(uint64(i)), work: 0.1,
				aim: g.n + time.Second}
			if g.r.chooseParent(req).ID == "p" {
				near++
			}
		}
		if near < c.near || near > c.most {
			t.Errorf("hubs %v: %d of 100 from the near parent", c.hubs, near)
		}
		g.do(MemberList{Members: []Member{{ID: "p", State: Gone, Kind: 1}}})
		if f := fetchOf(g.request(1, "x", 0)); f.Source != "q" {
			t.Errorf("hubs %v: with the near hub lost %q fills", c.hubs, f.Source)
		}
	}
}

// With many routers one attempt of each is too much for a failing origin: the limit falls under one, down to this
// router's part, and opens again. With few routers one is always let through. Incident ic689c2.
func TestLimitFallsUnderOneWithManyRouters(t *testing.T) {
	for _, c := range []struct {
		instances int
		below     bool
	}{{300, true}, {1, false}} {
		set := world()
		set.Instances = c.instances
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		g.do(everybody())
		for id := int64(1); id < 20; id++ {
			g.request(id, string(rune('a'+id)), 0)
			g.n += 200 * ms
			g.do(Outcome{ID: id, Result: ResultError, Note: NoteOriginFailed, Took: 20 * ms})
		}
		shut := g.r.originLimiter.limit
		if (shut < 1) != c.below || shut <= 0 {
			t.Fatalf("%d routers: the limit is %v", c.instances, shut)
		}
		a := &attempt{request: &request{class: &set.Classes[0]}, source: g.r.members["p"], target: g.r.members["a"]}
		for range 20 {
			g.r.observeOrigin(a, Outcome{Result: ResultOK, Note: NoteFilledByOrigin})
		}
		if g.r.originLimiter.limit < shut+1 {
			t.Fatalf("%d routers: answers raised the limit from %v to %v only", c.instances, shut, g.r.originLimiter.limit)
		}
	}
}

// What was decided while a connection came up is looked at again when the first byte goes.
func TestRecheckBeforeTheFirstByte(t *testing.T) {
	drain := func(id string) Event { return MemberList{Members: []Member{{ID: id, State: Draining, Zone: 1}}} }
	for name, c := range map[string]struct {
		event func(Fetch) Event
		goes  bool
		age   time.Duration
		join  bool
	}{
		"nothing new":         {func(Fetch) Event { return TimerFired{} }, true, 0, true},
		"its target drains":   {func(f Fetch) Event { return drain(f.Target) }, false, 0, false},
		"its source drains":   {func(f Fetch) Event { return drain(f.Source) }, false, 0, false},
		"its object purged":   {func(Fetch) Event { return Purge{Object: "x", Age: 70 * ms} }, true, 90 * ms, true},
		"its group purged":    {func(Fetch) Event { return Purge{Age: 70 * ms} }, true, 90 * ms, true},
		"the client has left": {func(Fetch) Event { return ClientGone{ID: 1} }, false, 0, false},
	} {
		g := newRig(t)
		f := fetchOf(g.request(1, "x", 0))
		g.n += 10 * ms
		g.do(c.event(*f))
		now, goes := g.r.Recheck(g.n+20*ms, 1, 0)
		if goes != c.goes || now.MaxAge != c.age || now.Join != c.join {
			t.Errorf("%s: %v %+v", name, goes, now)
		}
	}
	if _, goes := newRig(t).r.Recheck(time.Hour, 9, 0); goes {
		t.Error("an attempt that was never made goes")
	}
}

// The bytes of an answer tell what a part takes to send, and are remembered: slow answers make neither the part
// nor its class look larger, which would make a crowded link look free.
func TestSizesAreRememberedByPart(t *testing.T) {
	g := newRig(t)
	for id := range int64(20) {
		object, sending := "small", 50*ms
		if id%2 == 1 {
			object, sending = "large", 750*ms
		}
		g.do(Request{ID: id + 1, Object: object, Left: 6 * time.Second})
		g.n += 2 * sending
		g.do(Outcome{ID: id + 1, Result: ResultOK, Note: NoteHit, Took: 2 * sending, Sending: sending, Finished: true})
	}
	for object, want := range map[string]float64{"small": 0.05, "large": 0.75, "unknown": 0.4} {
		g.do(Request{ID: 99, Object: object, Left: 6 * time.Second})
		if got := g.r.requests[99].work; math.Abs(got-want) > 0.01 {
			t.Errorf("%s is expected to take %v s, want %v", object, got, want)
		}
		g.do(ClientGone{ID: 99})
		g.do(Outcome{ID: 99, Result: ResultCancelled})
	}
}

// Where sizes are not told, the sending time is learned from hits on free links, and a large object on a free
// link must not pass for a full link: small requests would be refused more and more.
func TestUntoldSizesAreLearned(t *testing.T) {
	g := newRig(t)
	guess := newRig(t).r.classWork[""].value
	ask := func(id int64, took time.Duration) *member {
		f := fetchOf(g.do(Request{ID: id, Object: "x", Class: 0, Left: 3 * time.Second}))
		if f == nil {
			t.Fatalf("request %d was not sent", id)
		}
		g.n += took
		g.do(Outcome{ID: id, Result: ResultOK, Note: NoteHit, Took: took, Finished: true})
		return g.r.members[f.Target]
	}
	var m *member
	for id := range int64(50) {
		m = ask(id+1, 300*ms)
	}
	if got := g.r.classWork[""].value; guess != 0 || math.Abs(got-0.3) > 0.01 {
		t.Errorf("%v s learned from answers of 0.3 s, %v before", got, guess)
	}
	if m.link.capacity != m.link.nominal {
		t.Errorf("the link is taken for %v of %v transfers", m.link.capacity, m.link.nominal)
	}
	ask(60, 2500*ms) // no size explains this one
	if m.link.currentSlowdown(g.n) < minSlowdown {
		t.Errorf("one far slower than usual is held to be slower by %v", m.link.currentSlowdown(g.n))
	}
}

// A parent whose fills last several times as long as their bytes explain is slow, with few transfers under way too:
// the others take over what it would make late, nothing is refused, and it is tried again after a while.
func TestSlowParentIsPassedOver(t *testing.T) {
	g, object, id := newRig(t), "", int64(0)
	fill := func() string {
		id++
		f := fetchOf(g.do(Request{ID: id, Object: object, Left: 6 * time.Second}))
		if f == nil {
			t.Fatalf("request %d was not sent", id)
		}
		took := 200 * ms
		if f.Source == "p" {
			took = 900 * ms
		}
		g.n += 100 * ms
		g.do(Outcome{ID: id, Result: ResultOK, Note: NoteFilled, Took: took, Sending: 200 * ms, Finished: true})
		g.do(Purge{Object: object}) // so that no sibling is expected to hold it
		return f.Source
	}
	for object = "x"; fill() != "p"; { // one that hashing fills from p
		object += "x"
	}
	for range 5 {
		fill()
	}
	if got := fill(); got != "q" {
		t.Errorf("filled from %s, which takes four times as long", got)
	}
	if g.r.zoneLink.capacity != g.r.zoneLink.nominal {
		t.Errorf("the link is held to be congested: %v of %v", g.r.zoneLink.capacity, g.r.zoneLink.nominal)
	}
	g.n += 6 * slowdownMemory
	if got := fill(); got != "p" {
		t.Errorf("%s: the slow one is not tried again", got)
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
	g.serve(1, "x", NoteHit)
	learned := g.r.classWork["old"].value
	write := fetchOf(g.request(2, "y", 2))

	later := set
	later.Classes = []Class{{Name: "write", Effect: Unsafe, PassOn: true, Worth: 3, Aim: 500 * ms}, set.Classes[0]}
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
	if acts := g.do(Outcome{ID: 4, Result: ResultFull}); fetchOf(acts) != nil || finals(acts) != 1 {
		t.Errorf("after the one attempt: %+v", acts)
	}
	if acts := g.request(5, "x", 2); finals(acts) != 1 { // a class that is gone
		t.Errorf("%+v", acts)
	}
	g.do(Outcome{ID: 2, Result: ResultOK, Sending: time.Second, Finished: true}) // of the class that had number 2
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
				g.do(Outcome{ID: id + 1, Attempt: len(g.r.requests[id+1].attempts) - 1, Result: ResultOK, Note: NoteHit, Finished: true})
				break
			}
			acts := g.do(Outcome{ID: id + 1, Attempt: len(g.r.requests[id+1].attempts) - 1, Result: ResultError})
			if f = fetchOf(acts); f == nil {
				t.Fatalf("request %d was given up after %d attempts in all: %+v", id+1, attempts, acts)
			}
		}
	}
}

// fleet is many routers that are asked all the time for what lies at one cold member.
type fleet struct {
	set     Settings
	list    MemberList
	routers []*Router
	now     time.Duration
	sent    []time.Duration // when the cold member was sent something
}

func (f *fleet) start(i int) {
	set := f.set
	set.Index = i
	f.routers[i] = New(set, uint64(i))
	f.routers[i].Handle(f.now, f.list)
}

// ask has each router asked for as many objects as it may take, and answers nothing: every one of 0.1 s.
func (f *fleet) ask(cold string, id int64) {
	for _, r := range f.routers {
		for n := range int64(8) {
			q := Request{ID: id<<8 + n, Object: string(rune('a' + n)), Class: 0, SizeKB: 100, Left: 3 * time.Second}
			if got := fetchOf(r.Handle(f.now, q)); got != nil && (got.Target == cold || got.Source == cold) {
				f.sent = append(f.sent, f.now)
			}
			r.Handle(f.now, ClientGone{q.ID})
			for i := range 2 {
				r.Handle(f.now, Outcome{ID: q.ID, Attempt: i, Result: ResultCancelled, Finished: true})
			}
		}
	}
}

// most is the largest number sent in a window beyond what is allowed at its end: N + 2 x root of N + 2.
func (f *fleet) most(allowed func(at time.Duration) float64, window time.Duration) (over float64) {
	over = math.Inf(-1)
	for i, at := range f.sent {
		n := 0
		for _, earlier := range f.sent[:i+1] {
			if at-earlier < window {
				n++
			}
		}
		bears := allowed(at)
		over = max(over, float64(n)-(bears+2*math.Sqrt(bears)+2))
	}
	return over
}

// However many routers there are, a cold member gets some work and all of them together push it no further than it
// surely bears: also when it is told late, settings come anew, and routers restart and forget what they sent.
func TestColdBudgetOfAFleet(t *testing.T) {
	for _, routers := range []int{3, 20, 300} {
		for _, cold := range []string{"a", "p"} {
			f := &fleet{set: world(), list: everybody(), routers: make([]*Router, routers), now: time.Hour}
			f.set.Instances, f.set.RoutersInZone = routers, routers
			share, within, weight := f.set.ColdShare, f.set.WarmWithin, 5.0
			if cold == "p" {
				share, within, weight = f.set.ParentColdShare, f.set.ParentWarmWithin, 20
			}
			for i := range f.routers {
				f.start(i)
			}
			started, window := f.now+time.Second, f.set.FallWindow
			for i := range f.list.Members {
				m := &f.list.Members[i]
				m.Started = time.Duration(0)
				if m.ID == cold {
					m.Started = started
				} else if m.Kind == 0 && cold == "a" || m.Kind == 1 && cold == "p" {
					m.State = Gone
				}
			}
			for tick := int64(0); f.now < started+within-time.Second; tick++ {
				f.now += 100 * ms
				switch at := f.now - time.Hour; {
				case at == 2*time.Second: // told a second late
					for _, r := range f.routers {
						r.Handle(f.now, f.list)
					}
				case at == 4*time.Second:
					for i, r := range f.routers {
						set := f.set
						set.Index = i
						r.Handle(f.now, set)
					}
				case at == 6*time.Second: // seven in ten are killed at once
					for i := range routers * 7 / 10 {
						f.start(i)
					}
				}
				if f.now >= time.Hour+2*time.Second {
					f.ask(cold, tick+1)
				}
			}
			over := f.most(func(at time.Duration) float64 {
				return 2 * weight * (share + (1-share)*float64(at-started)/float64(within)) * window.Seconds() / 0.1
			}, window)
			if len(f.sent) == 0 || over > 0 {
				t.Errorf("%d routers sent %d to %s, %.1f too many at most", routers, len(f.sent), cold, over)
			}
		}
	}
}

// The time for repeats is looked at again when a repeat's first byte goes: it may have waited for its connection.
func TestRepeatIsNotBegunAfterItsWindow(t *testing.T) {
	for _, late := range []bool{false, true} {
		set := world()
		set.Classes[0] = Class{Effect: Keyed, Scope: ScopeAll, Window: time.Second, Aim: 2 * time.Second, Worth: 1}
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		g.do(everybody())
		if fetchOf(g.request(1, "x", 0)) == nil {
			t.Fatal("not sent")
		}
		if _, ok := g.r.Recheck(g.n, 1, 0); !ok {
			t.Fatal("the first attempt may go at any time")
		}
		g.n += 900 * ms
		if fetchOf(g.do(Outcome{ID: 1, Attempt: 0, Result: ResultReset})) == nil {
			t.Fatal("not repeated within its window")
		}
		if late {
			g.n += 200 * ms
		}
		if _, ok := g.r.Recheck(g.n, 1, 1); ok == late {
			t.Errorf("late %v: begun %v", late, ok)
		}
	}
}

// A link whose size is told keeps it where answers come of unknown size: what is not known then is the load that others
// put on it. One whose size is a guess follows its answers, and so does any link where their sizes are known.
func TestToldLinksDoNotFollowAnswersOfUnknownSize(t *testing.T) {
	for _, c := range []struct {
		told    bool
		sending time.Duration
		moves   bool
	}{{true, 0, false}, {true, 100 * ms, true}, {false, 0, true}} {
		set := world()
		set.WeightsTold = c.told
		if !c.told {
			set.ZoneLink = 0
		}
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		g.do(everybody())
		for id := range int64(60) { // a burst: every link on the way is taken to be full
			g.do(Request{ID: id + 1, Object: string(rune('a' + id)), Left: 3 * time.Second})
		}
		var full *link
		for id := range int64(60) {
			req := g.r.requests[id+1]
			if req == nil || !req.attempts[0].congested {
				continue
			}
			full = req.attempts[0].slowest
			g.n += ms
			g.do(Outcome{ID: id + 1, Result: ResultOK, Note: NoteFilled, Took: 2 * time.Second, Sending: c.sending, Finished: true})
			break
		}
		if full == nil {
			t.Fatalf("%+v: no link was full", c)
		}
		if moved := full.capacity != full.nominal; moved != c.moves {
			t.Errorf("%+v: the link is taken for %v of %v transfers", c, full.capacity, full.nominal)
		}
	}
}
