package policy

import (
	"math"
	"testing"
	"time"
)

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

// With many routers a share of a link is under one transfer; an idle link must not look full for it. i0f9a26.
func TestManyRoutersShareALink(t *testing.T) {
	set := world()
	set.Routers, set.RoutersInZone = 200, 5
	g := &rig{t: t, r: New(set, 1), n: time.Hour}
	g.do(everybody())
	f := fetchOf(g.do(Request{ID: 1, Object: "x", SizeKB: 300, Remaining: 3 * time.Second}))
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

// What answers taught of a link bounds the cold budget after a restart too.
func TestLearnedShareOutlivesRestart(t *testing.T) {
	g := newRig(t)
	m := g.r.members["a"]
	for i := 0; i < 20; i++ {
		m.link.learnCapacity(0.5)
	}
	learned := m.link.capacity
	g.do(EndpointUpdate{Endpoints: []Endpoint{{ID: "a", State: Ready, Zone: 1, Weight: 5, Started: g.n}}})
	if m.link.capacity != learned || learned >= m.link.nominal {
		t.Fatalf("share %v after the restart, %v before", m.link.capacity, learned)
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
		g.do(Request{ID: id + 1, Object: object, Remaining: 6 * time.Second})
		g.n += 2 * sending
		g.do(Outcome{ID: id + 1, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: 2 * sending, TransferTime: sending, RequestFinished: true})
	}
	for object, want := range map[string]float64{"small": 0.05, "large": 0.75, "unknown": 0.4} {
		g.do(Request{ID: 99, Object: object, Remaining: 6 * time.Second})
		if got := g.r.requests[99].work; math.Abs(got-want) > 0.01 {
			t.Errorf("%s is expected to take %v s, want %v", object, got, want)
		}
		g.do(ClientDisconnected{ID: 99})
		g.do(Outcome{ID: 99, Result: ResultCancelled})
	}
}

// Where sizes are not told, the sending time is learned from hits on free links, and a large object on a free
// link must not pass for a full link: small requests would be refused more and more.
func TestUntoldSizesAreLearned(t *testing.T) {
	g := newRig(t)
	guess := newRig(t).r.classWork[""].value
	ask := func(id int64, took time.Duration) *member {
		f := fetchOf(g.do(Request{ID: id, Object: "x", Class: 0, Remaining: 3 * time.Second}))
		if f == nil {
			t.Fatalf("request %d was not sent", id)
		}
		g.n += took
		g.do(Outcome{ID: id, Result: ResultOK, CacheStatus: CacheStatusHit, Elapsed: took, RequestFinished: true})
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

// A link whose size is told keeps it where answers come of unknown size: what is not known then is the load that others
// put on it. One whose size is a guess follows its answers, and so does any link where their sizes are known.
func TestToldLinksDoNotFollowAnswersOfUnknownSize(t *testing.T) {
	for _, c := range []struct {
		told    bool
		sending time.Duration
		moves   bool
	}{{true, 0, false}, {true, 100 * ms, true}, {false, 0, true}} {
		set := world()
		set.WeightsConfigured = c.told
		if !c.told {
			set.ZoneLinkTransfers = 0
		}
		g := &rig{t: t, r: New(set, 1), n: time.Hour}
		g.do(everybody())
		for id := range int64(60) { // a burst: every link on the way is taken to be full
			g.do(Request{ID: id + 1, Object: string(rune('a' + id)), Remaining: 3 * time.Second})
		}
		var full *link
		for id := range int64(60) {
			req := g.r.requests[id+1]
			if req == nil || !req.attempts[0].congested {
				continue
			}
			full = req.attempts[0].slowest
			g.n += ms
			g.do(Outcome{ID: id + 1, Result: ResultOK, CacheStatus: CacheStatusFilled, Elapsed: 2 * time.Second, TransferTime: c.sending, RequestFinished: true})
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
