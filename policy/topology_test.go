package policy

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// Guards against a tier, a total or a link that changes leave different from what a full rebuild gives (review/6).
func TestChangesKeepTheTopology(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := newHarness(t)
	state := func() (ids []string, totals []float64) {
		for _, tier := range [][]*endpointState{h.router.caches, h.router.parents, h.router.origins} {
			for _, e := range tier {
				ids = append(ids, fmt.Sprint(e.ID, e.State))
				totals = append(totals, e.link.nominalCapacity)
			}
		}
		if h.router.origin != nil {
			ids = append(ids, "origin "+h.router.origin.ID)
		}
		return ids, append(totals, h.router.cacheCapacity.transfers(), h.router.zoneLink.nominalCapacity)
	}
	for step := range 3000 {
		var changes []Endpoint
		for range 1 + rng.IntN(3) {
			changes = append(changes, Endpoint{
				ID: fmt.Sprint("e", rng.IntN(30)), State: State(rng.IntN(3)), Kind: rng.IntN(4), Zone: rng.IntN(3),
				Weight: float64(rng.IntN(5)) * 0.7,
			})
		}
		h.handle(EndpointUpdate{Endpoints: changes, Full: step%500 == 499})
		ids, totals := state()
		h.router.rebuildTopology()
		rebuiltIDs, rebuiltTotals := state()
		if !slices.Equal(ids, rebuiltIDs) || !slices.Equal(totals, rebuiltTotals) {
			t.Fatalf("step %d: %v %v, after a rebuild %v %v", step, ids, totals, rebuiltIDs, rebuiltTotals)
		}
	}
}

// Guards against an event that costs in proportion to the whole list (review/6): a change to one endpoint allocates no
// more in a list of 3,200 than in one of 100. Sorting or copying the list would.
func TestChangeCostsNoMoreInALargeList(t *testing.T) {
	bytesPerChange := func(listed int) uint64 {
		h := newHarness(t)
		var list []Endpoint
		for i := range listed {
			list = append(list, Endpoint{ID: fmt.Sprint("s", i), State: Ready, Zone: i % 3, Weight: 8})
		}
		h.handle(EndpointUpdate{Endpoints: list})
		const changes = 1000
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			change := list[i%listed]
			change.State = Draining
			h.handle(EndpointUpdate{Endpoints: []Endpoint{change}})
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	small, large := bytesPerChange(100), bytesPerChange(3200)
	t.Logf("bytes allocated for a change: %d in the small list, %d in the large one", small, large)
	if large > 2*small {
		t.Errorf("a change allocates %d bytes in a list of 3,200, %d in one of 100", large, small)
	}
}
