package policy

import (
	"testing"
	"time"
)

// With many routers, one router's quota of a link is below one transfer; an idle link must not look congested
// for it. Incident i0f9a26.
func TestManyRoutersShareALink(t *testing.T) {
	settings := testSettings()
	settings.Routers, settings.RoutersInZone = 200, 5
	h := newHarnessWith(t, settings)
	f := fetchOf(h.handle(Request{ID: 1, Object: "x", SizeKB: 300, Remaining: 3 * time.Second}))
	if f == nil || f.Source == "o" {
		t.Fatalf("nothing is under way and the first miss is not filled from a parent: %+v", f)
	}
	link := &h.router.endpoints["a"].link
	for i := 0; i < 4; i++ {
		link.add(&attempt{request: &request{transferSeconds: 0.1}, target: h.router.endpoints["a"]}, h.now)
	}
	now := link.expectedSeconds(h.now, 0.1, 1)
	later := link.expectedSeconds(h.now+20*time.Second, 0.1, 1)
	if later < 3*now {
		t.Fatalf("lasting use by one router should imply use by the others: %v then %v", now, later)
	}
}

// The capacity that was learned of a link bounds the slow-start budget after a restart too.
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
		t.Fatalf("share %v after the restart, %v before", e.link.capacity, learned)
	}
}
