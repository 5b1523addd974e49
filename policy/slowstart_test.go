package policy

import (
	"math"
	"testing"
	"time"
)

// A cache in slow start receives no more than its budget.
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
	// 0.1 s each; 2 times a fifth of 5 transfers for 2 s is 4 transfer seconds.
	if sent == 0 || float64(sent)*0.1 > 4 {
		t.Fatalf("%d sent to a cache in slow start", sent)
	}
}

// The assumed capacity of a parent does not grow with the number of routers: their slow-start budgets
// together stay within what it can take. Incident iddf016.
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
	// 0.1 s each; a parent for three caches of unknown capacity starts at a tenth of its own; twice that for 2 s.
	if most := fillFraction * 3 * defaultLinkCapacity * 0.1 * 2 * 2; float64(sent)*0.1 > most {
		t.Fatalf("%d sent to a parent in slow start by 100 routers", sent)
	}
}

// fleet is many routers that receive requests all the time for objects of one endpoint in slow start.
type fleet struct {
	set     Settings
	list    EndpointUpdate
	routers []*Router
	now     time.Duration
	sent    []time.Duration // when something was sent to the starting endpoint
}

// start replaces a router by a new one that knows the endpoint list only.
func (f *fleet) start(i int) {
	set := f.set
	set.RouterIndex = i
	f.routers[i] = New(set, uint64(i))
	f.routers[i].Handle(f.now, f.list)
}

// requestObjects requests eight objects of 0.1 s from each router and answers none.
func (f *fleet) requestObjects(starting string, id int64) {
	for _, r := range f.routers {
		for n := range int64(8) {
			q := Request{ID: id<<8 + n, Object: string(rune('a' + n)), Class: 0, SizeKB: 100, Remaining: 3 * time.Second}
			if got := fetchOf(r.Handle(f.now, q)); got != nil && (got.Target == starting || got.Source == starting) {
				f.sent = append(f.sent, f.now)
			}
			r.Handle(f.now, ClientDisconnected{q.ID})
			for i := range 2 {
				r.Handle(f.now, Outcome{ID: q.ID, Attempt: i, Result: ResultCancelled, RequestFinished: true})
			}
		}
	}
}

// maxExcess returns by how many attempts the worst window exceeds what is allowed at its end, which is
// n + 2*sqrt(n) + 2 for a capacity of n.
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

// However many routers there are, an endpoint in slow start receives some work, and all of them together do
// not overload it: also when its start is reported late, settings change, and routers restart and do not know
// what they sent.
func TestSlowStartBudgetAcrossFleet(t *testing.T) {
	for _, routers := range []int{3, 20, 30, 300} {
		for _, starting := range []string{"a", "p"} {
			f := &fleet{set: testSettings(), list: allEndpoints(), routers: make([]*Router, routers), now: time.Hour}
			f.set.Routers, f.set.RoutersInZone = routers, routers
			fraction, duration, weight := f.set.SlowStartCapacity, f.set.SlowStartDuration, 5.0
			if starting == "p" {
				fraction, duration, weight = f.set.ParentSlowStartCapacity, f.set.ParentSlowStartDuration, 20
			}
			for i := range f.routers {
				f.start(i)
			}
			started, window := f.now+time.Second, f.set.OverloadWindow
			for i := range f.list.Endpoints {
				m := &f.list.Endpoints[i]
				m.Started = time.Duration(0)
				if m.ID == starting {
					m.Started = started
				} else if m.Kind == 0 && starting == "a" || m.Kind == 1 && starting == "p" {
					m.State = Removed
				}
			}
			for tick := int64(0); f.now < started+duration-time.Second; tick++ {
				f.now += 100 * ms
				switch f.now - time.Hour {
				case 2 * time.Second: // the start is reported a second late
					for _, r := range f.routers {
						r.Handle(f.now, f.list)
					}
				case 4 * time.Second: // the settings change
					for i, r := range f.routers {
						set := f.set
						set.RouterIndex = i
						r.Handle(f.now, set)
					}
				case 6 * time.Second: // seven in ten routers restart at once
					for i := range routers * 7 / 10 {
						f.start(i)
					}
				}
				if f.now >= time.Hour+2*time.Second {
					f.requestObjects(starting, tick+1)
				}
			}
			over := f.maxExcess(func(at time.Duration) float64 {
				return 2 * weight * (fraction + (1-fraction)*float64(at-started)/float64(duration)) * window.Seconds() / 0.1
			}, window)
			if len(f.sent) == 0 || over > 0 {
				t.Errorf("%d routers sent %d attempts to %s, %.1f more than allowed", routers, len(f.sent), starting, over)
			}
		}
	}
}

// Attempts that wait for a connection count until they are sent, however long that takes, as all may be sent
// at once. One that was created before its endpoint restarted is checked again.
func TestDelayedAttemptsKeepSlowStartBudget(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		set := testSettings()
		set.SlowStartCapacity, set.OverloadWindow = 0.05, time.Second
		h := newHarnessWith(t, set)
		home := h.serve(1, "x", CacheStatusFilled).Target
		h.now += time.Minute
		restart := EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: h.now}}}
		if !restarts {
			h.do(restart)
		}
		var waiting []int64
		for id := int64(2); id < 100; id++ {
			h.now += 100 * ms
			if f := fetchOf(h.request(id, "x", 0)); f != nil && f.Target == home {
				waiting = append(waiting, id)
			}
		}
		if restarts {
			restart.Endpoints[0].Started = h.now
			h.do(restart)
		}
		sent := 0
		for _, id := range waiting {
			if _, verdict := h.router.MaySend(h.now, SendInfo{ID: id, Remaining: time.Second}); verdict.Allowed() {
				sent++
			}
		}
		// 0.1 s each; 2 times the slow-start fraction of 5 transfers for 1 s.
		share := h.router.slowStartFraction(h.router.endpoints[home])
		if most := 2 * share * 5; sent == 0 || float64(sent)*0.1 > most {
			t.Errorf("restarted %v: %d of %d sent at once, %.1f s allowed", restarts, sent, len(waiting), most)
		}
	}
}

// Two processes, of which one takes over from the other, together send what one may.
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
