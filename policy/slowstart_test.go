package policy

import (
	"math"
	"testing"
	"time"
)

// A cold cache gets no more than its budget.
func TestSlowStartBudgetOfCache(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	h.do(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: h.now}}})
	sent := 0
	for i := int64(2); i < 60; i++ {
		if f := fetchOf(h.request(i, "x", 0)); f != nil && f.Target == home {
			sent++
		}
	}
	// 0.1 s each; 2 times a fifth of 5 transfers for 2 s is 4 s of sending.
	if sent == 0 || float64(sent)*0.1 > 4 {
		t.Fatalf("%d sent to a cold cache", sent)
	}
}

// A parent whose size is not told does not grow with the number of routers: the cold budgets of all of them
// together stay inside what it can bear. Incident iddf016.
func TestSlowStartBudgetOfParentAcrossRouters(t *testing.T) {
	set := testSettings()
	set.Routers, set.RoutersInZone, set.WeightsConfigured = 100, 5, false
	sent := 0
	for i := range set.Routers {
		h := &harness{t: t, router: New(set, uint64(i)), now: time.Hour}
		list := allEndpoints()
		list.Endpoints[3].Started, list.Endpoints[4].State = h.now, Removed
		h.do(list)
		for id := int64(1); id < 20; id++ {
			if f := fetchOf(h.request(id, string(rune('a'+id)), 0)); f != nil && f.Source == "p" {
				sent++
			}
		}
	}
	// 0.1 s each; three caches of unknownCap transfers draw 6, a tenth of them cold, twice that for 2 s.
	if most := fillFraction * 3 * defaultLinkCapacity * 0.1 * 2 * 2; float64(sent)*0.1 > most {
		t.Fatalf("%d sent to a cold parent by 100 routers", sent)
	}
}

// fleet is many routers that are asked all the time for what lies at one cold member.
type fleet struct {
	set     Settings
	list    EndpointUpdate
	routers []*Router
	now     time.Duration
	sent    []time.Duration // when the cold member was sent something
}

func (f *fleet) start(i int) {
	set := f.set
	set.RouterIndex = i
	f.routers[i] = New(set, uint64(i))
	f.routers[i].Handle(f.now, f.list)
}

// requestColdObjects has each router asked for as many objects as it may take, and answers nothing: every one of 0.1 s.
func (f *fleet) requestColdObjects(cold string, id int64) {
	for _, r := range f.routers {
		for n := range int64(8) {
			q := Request{ID: id<<8 + n, Object: string(rune('a' + n)), Class: 0, SizeKB: 100, Remaining: 3 * time.Second}
			if got := fetchOf(r.Handle(f.now, q)); got != nil && (got.Target == cold || got.Source == cold) {
				f.sent = append(f.sent, f.now)
			}
			r.Handle(f.now, ClientDisconnected{q.ID})
			for i := range 2 {
				r.Handle(f.now, Outcome{ID: q.ID, Attempt: i, Result: ResultCancelled, RequestFinished: true})
			}
		}
	}
}

// maxExcess is the largest number sent in a window beyond what is allowed at its end: N + 2 x root of N + 2.
func (f *fleet) maxExcess(allowed func(at time.Duration) float64, window time.Duration) (over float64) {
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
func TestSlowStartBudgetAcrossFleet(t *testing.T) {
	for _, routers := range []int{3, 20, 30, 300} {
		for _, cold := range []string{"a", "p"} {
			f := &fleet{set: testSettings(), list: allEndpoints(), routers: make([]*Router, routers), now: time.Hour}
			f.set.Routers, f.set.RoutersInZone = routers, routers
			share, within, weight := f.set.SlowStartCapacity, f.set.SlowStartDuration, 5.0
			if cold == "p" {
				share, within, weight = f.set.ParentSlowStartCapacity, f.set.ParentSlowStartDuration, 20
			}
			for i := range f.routers {
				f.start(i)
			}
			started, window := f.now+time.Second, f.set.OverloadWindow
			for i := range f.list.Endpoints {
				m := &f.list.Endpoints[i]
				m.Started = time.Duration(0)
				if m.ID == cold {
					m.Started = started
				} else if m.Kind == 0 && cold == "a" || m.Kind == 1 && cold == "p" {
					m.State = Removed
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
						set.RouterIndex = i
						r.Handle(f.now, set)
					}
				case at == 6*time.Second: // seven in ten are killed at once
					for i := range routers * 7 / 10 {
						f.start(i)
					}
				}
				if f.now >= time.Hour+2*time.Second {
					f.requestColdObjects(cold, tick+1)
				}
			}
			over := f.maxExcess(func(at time.Duration) float64 {
				return 2 * weight * (share + (1-share)*float64(at-started)/float64(within)) * window.Seconds() / 0.1
			}, window)
			if len(f.sent) == 0 || over > 0 {
				t.Errorf("%d routers sent %d to %s, %.1f too many at most", routers, len(f.sent), cold, over)
			}
		}
	}
}

// Calls that wait for their connections count until they go, however long that takes: all may go at once. One that was decided
// on before its member started anew is looked at again.
func TestDelayedAttemptsKeepSlowStartBudget(t *testing.T) {
	for _, startsAnew := range []bool{false, true} {
		set := testSettings()
		set.SlowStartCapacity, set.OverloadWindow = 0.05, time.Second
		h := &harness{t: t, router: New(set, 1), now: time.Hour}
		h.do(allEndpoints())
		home := h.serve(1, "x", CacheStatusFilled).Target
		h.now += time.Minute
		cold := EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: h.now}}}
		if !startsAnew {
			h.do(cold)
		}
		var waiting []int64
		for id := int64(2); id < 100; id++ {
			h.now += 100 * ms
			if f := fetchOf(h.request(id, "x", 0)); f != nil && f.Target == home {
				waiting = append(waiting, id)
			}
		}
		if startsAnew {
			cold.Endpoints[0].Started = h.now
			h.do(cold)
		}
		sent := 0
		for _, id := range waiting {
			if _, verdict := h.router.MaySend(h.now, SendInfo{ID: id, Remaining: time.Second}); verdict.Allowed() {
				sent++
			}
		}
		// 0.1 s each; 2 times the warm share of 5 transfers for 1 s.
		share := h.router.slowStartFraction(h.router.endpoints[home])
		if most := 2 * share * 5; sent == 0 || float64(sent)*0.1 > most {
			t.Errorf("started anew %v: %d of %d sent at once, %.1f s allowed", startsAnew, sent, len(waiting), most)
		}
	}
}

// Two processes that stand for one router while one takes over from the other send together what one may.
func TestTwoProcessesShareSlowStartBudget(t *testing.T) {
	sent := map[int]int{}
	for _, processes := range []int{1, 2} {
		set := testSettings()
		set.ProcessesPerRouter = processes
		for i := range processes {
			h := &harness{t: t, router: New(set, uint64(i)), now: time.Hour}
			h.do(allEndpoints())
			home := h.serve(1, "x", CacheStatusFilled).Target
			h.now += time.Minute
			h.do(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: h.now}}})
			for id := int64(2); id < 60; id++ {
				if f := fetchOf(h.request(id, "x", 0)); f != nil && f.Target == home {
					sent[processes]++
				}
				h.do(ClientDisconnected{ID: id})
				h.do(Outcome{ID: id, Result: ResultCancelled, RequestFinished: true})
			}
		}
	}
	if sent[2] == 0 || sent[2] > sent[1] {
		t.Errorf("one process sends %d, two send %d", sent[1], sent[2])
	}
}
