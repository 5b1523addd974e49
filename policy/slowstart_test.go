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
	h.handle(EndpointUpdate{Endpoints: []Endpoint{
		{ID: home, State: Ready, Zone: 1, Weight: 5, Started: h.now},
	}})
	sent := 0
	for i := int64(2); i < 60; i++ {
		if f := fetchOf(h.request(i, "x", 0)); f != nil && f.Target == home {
			sent++
		}
	}
	// Each attempt costs 0.1 transfer seconds. The cache can take 4 transfer seconds in the window:
	// the overload multiple 2, times the initial capacity of 0.2 * 5 transfers, times the window of 2 s.
	if sent == 0 || float64(sent)*0.1 > 4 {
		t.Fatalf("%d attempts sent to a cache in slow start, want 1 to 40", sent)
	}
}

// The assumed capacity of a parent does not grow with the number of routers: their slow-start budgets
// together stay within what it can take. Incident iddf016.
func TestSlowStartBudgetOfParentAcrossRouters(t *testing.T) {
	settings := testSettings()
	settings.Routers, settings.RoutersInZone, settings.WeightsConfigured = 100, 5, false
	sent := 0
	for i := range settings.Routers {
		h := &harness{t: t, router: New(settings, uint64(i)), now: time.Hour}
		update := allEndpoints()
		update.Endpoints[3].Started, update.Endpoints[4].State = h.now, Removed // p starts, q is removed
		h.handle(update)
		for id := int64(1); id < 20; id++ {
			if f := fetchOf(h.request(id, string(rune('a'+id)), 0)); f != nil && f.Source == "p" {
				sent++
			}
		}
	}
	// Each attempt costs 0.1 transfer seconds. The parent of three caches of unknown capacity starts at a
	// tenth of its capacity and can take twice that for 2 s.
	if maxSeconds := fillFraction * 3 * defaultLinkCapacity * 0.1 * 2 * 2; float64(sent)*0.1 > maxSeconds {
		t.Fatalf("%d attempts sent to a parent in slow start by 100 routers, want fewer", sent)
	}
}

// fleetStart is the time at which a fleet's routers start.
const fleetStart = time.Hour

// fleet is a number of routers that keep receiving requests for objects of one endpoint in slow start.
type fleet struct {
	settings Settings
	update   EndpointUpdate
	routers  []*Router
	now      time.Duration

	starting  string        // ID of the endpoint in slow start
	startedAt time.Duration // its start, a second after that of the routers
	duration  time.Duration // duration of its slow start
	fraction  float64       // fraction of its capacity that it has at its start
	capacity  float64       // transfers

	sentAt []time.Duration // times at which attempts were sent to it
}

// newFleet returns a fleet whose routers know an endpoint list without an endpoint in slow start.
func newFleet(routers int, starting string) *fleet {
	f := &fleet{
		settings: testSettings(), update: allEndpoints(), routers: make([]*Router, routers), now: fleetStart,
		starting: starting, startedAt: fleetStart + time.Second,
	}
	f.settings.Routers = routers
	f.settings.RoutersInZone = routers
	f.duration = f.settings.SlowStartDuration
	f.fraction = f.settings.SlowStartCapacity
	f.capacity = 5
	if starting == "p" {
		f.duration = f.settings.ParentSlowStartDuration
		f.fraction = f.settings.ParentSlowStartCapacity
		f.capacity = 20
	}
	for i := range f.routers {
		f.restart(i)
	}
	return f
}

// restart replaces a router by a new one that knows only the endpoint list.
func (f *fleet) restart(i int) {
	f.routers[i] = New(f.settingsOf(i), uint64(i))
	f.routers[i].Handle(f.now, f.update)
}

// settingsOf returns the settings of one router.
func (f *fleet) settingsOf(i int) Settings {
	settings := f.settings
	settings.RouterIndex = i
	return settings
}

// listSlowStart changes the endpoint list: the endpoint has started, and the others of its tier are removed.
func (f *fleet) listSlowStart() {
	for i := range f.update.Endpoints {
		e := &f.update.Endpoints[i]
		e.Started = 0
		if e.ID == f.starting {
			e.Started = f.startedAt
		} else if e.Kind == 0 && f.starting == "a" || e.Kind == 1 && f.starting == "p" {
			e.State = Removed
		}
	}
}

// disturb causes the disturbance that is due at the given time after the routers' start, if any.
func (f *fleet) disturb(at time.Duration) {
	switch at {
	case 2 * time.Second: // the endpoint's start is reported a second late
		for _, r := range f.routers {
			r.Handle(f.now, f.update)
		}
	case 4 * time.Second: // the settings change
		for i, r := range f.routers {
			r.Handle(f.now, f.settingsOf(i))
		}
	case 6 * time.Second: // seven in ten routers restart at once
		for i := range len(f.routers) * 7 / 10 {
			f.restart(i)
		}
	}
}

// requestObjects requests eight objects of 0.1 s from each router and answers none.
func (f *fleet) requestObjects(tick int64) {
	for _, r := range f.routers {
		for n := range int64(8) {
			object := string(rune('a' + n))
			req := Request{ID: tick<<8 + n, Object: object, SizeKB: 100, Remaining: 3 * time.Second}
			sent := fetchOf(r.Handle(f.now, req))
			if sent != nil && (sent.Target == f.starting || sent.Source == f.starting) {
				f.sentAt = append(f.sentAt, f.now)
			}
			r.Handle(f.now, RequestEnded{req.ID})
			for i := range 2 {
				r.Handle(f.now, Outcome{ID: req.ID, Attempt: i, Result: ResultCancelled,
					RequestFinished: true})
			}
		}
	}
}

// allowedAttempts is the number of attempts of 0.1 s that the endpoint can take in the window that ends at a
// time.
func (f *fleet) allowedAttempts(at time.Duration) float64 {
	gainedCapacity := (1 - f.fraction) * float64(at-f.startedAt) / float64(f.duration)
	transfers := f.settings.OverloadMultiple * f.capacity * (f.fraction + gainedCapacity)
	return transfers * f.settings.OverloadWindow.Seconds() / 0.1
}

// maxExcess returns the number of attempts by which the worst window exceeds the tolerated number, which is
// n + 2*sqrt(n) + 2 for a window in which the endpoint can take n attempts.
func (f *fleet) maxExcess() float64 {
	excess := math.Inf(-1)
	for i, at := range f.sentAt {
		sent := 0
		for _, earlier := range f.sentAt[:i+1] {
			if at-earlier < f.settings.OverloadWindow {
				sent++
			}
		}
		n := f.allowedAttempts(at)
		excess = max(excess, float64(sent)-(n+2*math.Sqrt(n)+2))
	}
	return excess
}

// However many routers there are, an endpoint in slow start receives some attempts, and all routers together
// do not overload it, even when its start is reported late, settings change, and routers restart and do not
// know what they sent before.
func TestSlowStartBudgetAcrossFleet(t *testing.T) {
	for _, routers := range []int{3, 20, 30, 300} {
		for _, starting := range []string{"a", "p"} {
			f := newFleet(routers, starting)
			f.listSlowStart()
			end := f.startedAt + f.duration - time.Second
			for tick := int64(1); f.now < end; tick++ {
				f.now += 100 * ms
				f.disturb(f.now - fleetStart)
				if f.now >= fleetStart+2*time.Second {
					f.requestObjects(tick)
				}
			}
			excess := f.maxExcess()
			if len(f.sentAt) == 0 || excess > 0 {
				t.Errorf("%d routers sent %d attempts to %s, %.1f more than allowed",
					routers, len(f.sentAt), starting, excess)
			}
		}
	}
}

// Attempts that wait for a connection stay within the budget, however long they wait, as all may be sent at
// once. An attempt that has waited for longer than a window, or was created before its endpoint restarted, is
// checked again when it is sent.
func TestDelayedAttemptsKeepSlowStartBudget(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		settings := testSettings()
		settings.SlowStartCapacity, settings.OverloadWindow = 0.05, time.Second
		h := newHarnessWith(t, settings)
		home := h.serve(1, "x", CacheStatusFilled).Target
		h.now += time.Minute
		restart := EndpointUpdate{Endpoints: []Endpoint{
			{ID: home, State: Ready, Zone: 1, Weight: 5, Started: h.now},
		}}
		if !restarts {
			h.handle(restart)
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
			h.handle(restart)
		}
		sent := 0
		for _, id := range waiting {
			_, verdict := h.router.MaySend(h.now, SendInfo{ID: id, Remaining: time.Second})
			if verdict.Allowed() {
				sent++
			}
		}
		// Each attempt costs 0.1 transfer seconds; the endpoint can take 2 times the slow-start fraction of 5
		// transfers for 1 s.
		fraction := h.router.slowStartFraction(h.router.endpoints[home])
		if maxSeconds := 2 * fraction * 5; sent == 0 || float64(sent)*0.1 > maxSeconds {
			t.Errorf("restarted %v: %d of %d sent at once, %.1f s allowed", restarts, sent, len(waiting),
				maxSeconds)
		}
	}
}

// Two processes, of which one takes over from the other, together send no more than one may.
func TestTwoProcessesShareSlowStartBudget(t *testing.T) {
	sent := map[int]int{}
	for _, processes := range []int{1, 2} {
		settings := testSettings()
		settings.ProcessesPerRouter = processes
		for i := range processes {
			h := &harness{t: t, router: New(settings, uint64(i)), now: time.Hour}
			h.handle(allEndpoints())
			home := h.serve(1, "x", CacheStatusFilled).Target
			h.now += time.Minute
			h.handle(EndpointUpdate{Endpoints: []Endpoint{
				{ID: home, State: Ready, Zone: 1, Weight: 5, Started: h.now},
			}})
			for id := int64(2); id < 60; id++ {
				if f := fetchOf(h.request(id, "x", 0)); f != nil && f.Target == home {
					sent[processes]++
				}
				h.handle(RequestEnded{ID: id})
				h.handle(Outcome{ID: id, Result: ResultCancelled, RequestFinished: true})
			}
		}
	}
	if sent[2] == 0 || sent[2] > sent[1] {
		t.Errorf("one process sent %d attempts, two sent %d, want some, at most as many", sent[1], sent[2])
	}
}
