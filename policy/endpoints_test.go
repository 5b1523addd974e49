package policy

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// Guards against memory that grows with each endpoint that was ever listed. When 10,000 caches are replaced
// one after another by caches with new IDs, only those removed within the retention time are kept.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	const replaced, interval = 10_000, time.Second
	h := newHarness(t)
	listedEndpoints := len(h.router.endpoints)
	heapBefore := heapBytes()
	for i := range replaced {
		h.now += interval
		h.handle(EndpointUpdate{Endpoints: []Endpoint{
			{ID: fmt.Sprint("new", i-1), State: Removed, Zone: 1},
			{ID: fmt.Sprint("new", i), State: Ready, Zone: 1, Weight: 5, Started: h.now},
		}})
		f := h.serve(int64(i+1), fmt.Sprint(i), CacheStatusFilled)
		if f.Target == "" {
			t.Fatal("no target")
		}
	}
	heapAfter := heapBytes()
	keptEndpoints := len(h.router.endpoints)
	t.Logf("%d endpoints kept, the heap grew by %d KB", keptEndpoints, (heapAfter-heapBefore)/1024)
	if limit := listedEndpoints + 2 + int(removedRetention/interval); keptEndpoints > limit {
		t.Errorf("%d endpoints kept, want at most %d", keptEndpoints, limit)
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// Guards against the deletion of an endpoint that is removed only for a short time or still has attempts in
// flight. An endpoint that returns within the retention time keeps the learned capacity of its link.
func TestEndpointThatReturnsIsKnown(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	entry := h.router.endpoints[home].Endpoint
	h.router.endpoints[home].link.capacity = 7
	f := fetchOf(h.request(2, "x", 0))
	setState := func(state State) {
		entry.State = state
		h.handle(EndpointUpdate{Endpoints: []Endpoint{entry}})
	}
	setState(Removed)
	h.now += removedRetention
	h.handle(EndpointUpdate{})
	setState(Ready)
	if got := h.router.endpoints[home].link.capacity; got != 7 {
		t.Errorf("capacity %v after the endpoint returned, want 7", got)
	}
	setState(Removed)
	h.now += removedRetention + time.Second
	h.handle(EndpointUpdate{})
	if h.router.endpoints[home] != nil {
		t.Error("the removed endpoint is kept longer than the retention time")
	}
	h.handle(Outcome{ID: 2, Result: ResultReset}) // the attempt was sent to the deleted endpoint
	setState(Ready)
	if f.Target != home || h.router.endpoints[home] == nil {
		t.Errorf("%s is not listed again, or was not the target", home)
	}
}
