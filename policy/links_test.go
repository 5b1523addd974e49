package policy

import (
	"testing"
	"time"
)

// With many routers, one router's share of a link's capacity is below one transfer. An idle link must not
// look congested because of that. Incident i0f9a26.
func TestManyRoutersShareALink(t *testing.T) {
	settings := testSettings()
	settings.Routers, settings.RoutersInZone = 200, 5
	h := newHarnessWith(t, settings)
	f := fetchOf(h.handle(Request{ID: 1, Object: "x", SizeKB: 300, Remaining: 3 * time.Second}))
	if f == nil || f.Source == "o" {
		t.Fatalf("got %+v, want a first miss over idle links to be filled from a parent", f)
	}
	link := &h.router.endpoints["a"].link
	for i := 0; i < 4; i++ {
		link.add(&attempt{request: &request{transferSeconds: 0.1}, target: h.router.endpoints["a"]}, h.now)
	}
	now := link.expectedSeconds(h.now, 0.1, 1)
	later := link.expectedSeconds(h.now+20*time.Second, 0.1, 1)
	if later < 3*now {
		t.Fatalf("got %v s, then %v s: lasting load of this router must imply load of the others", now, later)
	}
}

// The learned capacity of a link is kept over a restart of its endpoint, so that it bounds the slow-start
// budget.
func TestLearnedCapacitySurvivesRestart(t *testing.T) {
	h := newHarness(t)
	e := h.router.endpoints["a"]
	for i := 0; i < 20; i++ {
		e.link.updateCapacity(0.5)
	}
	learned := e.link.capacity
	h.handle(EndpointUpdate{Endpoints: []Endpoint{
		{ID: "a", State: Ready, Zone: 1, Weight: 5, Started: h.now},
	}})
	if e.link.capacity != learned || learned >= e.link.nominalCapacity {
		t.Fatalf("capacity %v after the restart, %v before", e.link.capacity, learned)
	}
}
