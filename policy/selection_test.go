package policy

import (
	"testing"
	"time"
)

// All requests for an object go to the same cache, and its misses to the same parent.
func TestSameObjectSameCacheAndParent(t *testing.T) {
	h := newHarness(t)
	first := h.serve(1, "x", CacheStatusFilled)
	second := h.serve(2, "x", CacheStatusHit)
	if first.Target != second.Target || first.Source != second.Source {
		t.Fatalf("got %+v, then %+v, want the same target and source", first, second)
	}
	if first.Source != "p" && first.Source != "q" {
		t.Fatalf("a miss of an object that no sibling has is filled from %q, want a parent", first.Source)
	}
}

// Requests for a draining cache's objects go to the next cache in hash order, which does not fill from the
// draining one.
func TestDrainingCacheIsNeitherTargetNorSource(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	h.handle(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Draining, Zone: 1, Weight: 5}}})
	f := fetchOf(h.request(2, "x", 0))
	if f.Target == home || f.Source == home {
		t.Fatalf("%s is used although it is draining: %+v", home, f)
	}
}

// A cache with too many transfers in flight is passed over for the next in hash order (bounded load).
func TestFullCacheIsPassedOver(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	e := h.router.endpoints[home]
	for i := 0; i < 40; i++ {
		inFlight := &attempt{request: &request{transferSeconds: 0.1}, target: e}
		e.link.inFlight = append(e.link.inFlight, inFlight)
	}
	if f := fetchOf(h.request(2, "x", 0)); f == nil || f.Target == home {
		t.Fatalf("%s is full, want another cache, got %+v", home, f)
	}
}

// A parent at this zone's hub fills far more objects than a distant one; when it is removed, others take
// over.
func TestNearParentsArePreferred(t *testing.T) {
	for _, c := range []struct {
		hubs          []int
		near, maxNear int
	}{{[]int{0, 0, 2}, 60, 100}, {nil, 20, 80}, {[]int{-7, 0, 99}, 0, 100}, {[]int{0}, 20, 80}} {
		hubSettings := testSettings()
		hubSettings.ZoneHubs = c.hubs
		h := &harness{t: t, router: New(hubSettings, 1), now: time.Hour}
		update := allEndpoints()
		update.Endpoints[4].Zone = 2 // q is in zone 2, p in zone 0, the router in zone 1
		h.handle(update)
		near := 0
		for i := range 100 {
			req := &request{Request: Request{Object: "x"}, class: &h.router.settings.Classes[0],
				key: mixHash(uint64(i)), transferSeconds: 0.1,
				objectiveAt: h.now + time.Second}
			if h.router.chooseParent(req).ID == "p" {
				near++
			}
		}
		if near < c.near || near > c.maxNear {
			t.Errorf("hubs %v: the near parent is chosen for %d of 100 objects", c.hubs, near)
		}
		h.handle(EndpointUpdate{Endpoints: []Endpoint{{ID: "p", State: Removed, Kind: 1}}})
		if f := fetchOf(h.request(1, "x", 0)); f.Source != "q" {
			t.Errorf("hubs %v: %q fills after the near parent was removed, want q", c.hubs, f.Source)
		}
	}
}

// A parent whose fills take several times as long as their bytes explain is slow, even with few transfers in
// flight. Other parents fill the objects that it would deliver late, no request is rejected, and it is used
// again after a while.
func TestSlowParentIsPassedOver(t *testing.T) {
	h, object, id := newHarness(t), "", int64(0)
	fill := func() string {
		id++
		f := fetchOf(h.handle(Request{ID: id, Object: object, Remaining: 6 * time.Second}))
		if f == nil {
			t.Fatalf("request %d was not sent", id)
		}
		elapsed := 200 * ms
		if f.Source == "p" {
			elapsed = 900 * ms
		}
		h.now += 100 * ms
		h.handle(Outcome{ID: id, Result: ResultOK, CacheStatus: CacheStatusFilled, Elapsed: elapsed,
			FullPaceTransferTime: 200 * ms, RequestFinished: true})
		h.handle(Purge{Object: object}) // so that no sibling counts as having it cached
		return f.Source
	}
	for object = "x"; fill() != "p"; { // tries objects until one has p as its parent by its hash
		object += "x"
	}
	for range 5 {
		fill()
	}
	if got := fill(); got != "q" {
		t.Errorf("filled from %s, want q, as p takes four times as long", got)
	}
	if h.router.zoneLink.capacity != h.router.zoneLink.nominalCapacity {
		t.Errorf("zone link capacity %v, want the nominal %v", h.router.zoneLink.capacity,
			h.router.zoneLink.nominalCapacity)
	}
	h.now += 6 * slowdownDecayTime
	if got := fill(); got != "p" {
		t.Errorf("filled from %s, want the formerly slow p again", got)
	}
}
