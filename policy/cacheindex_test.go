package policy

import "testing"

// A restarted cache is empty: its cache index is cleared and its misindication ratio is reset.
func TestRestartClearsCacheIndex(t *testing.T) {
	h := newHarness(t)
	home := h.serve(1, "x", CacheStatusFilled).Target
	e := h.router.endpoints[home]
	e.misindication.add(true)
	if e.cacheIndex.Len() != 1 {
		t.Fatalf("%d cache records before the restart, want 1", e.cacheIndex.Len())
	}
	h.handle(EndpointUpdate{Endpoints: []Endpoint{
		{ID: home, State: Ready, Zone: 1, Weight: 5, Started: h.now},
	}})
	if e.cacheIndex.Len() != 0 || e.misindication != (misindicationRatio{}) {
		t.Fatalf("%d cache records, ratio %+v after the restart, want none",
			e.cacheIndex.Len(), e.misindication)
	}
}

// The cache index is bounded, and a record no longer counts once its copy is not fresh.
func TestCacheIndexIsBounded(t *testing.T) {
	h := newHarness(t)
	e := h.router.endpoints["a"]
	for i := uint64(0); i < cacheIndexSize+100; i++ {
		h.router.recordCached(e, &request{key: i, class: &h.router.settings.Classes[0]}, true)
	}
	if e.cacheIndex.Len() != cacheIndexSize {
		t.Fatalf("%d cache records, want %d", e.cacheIndex.Len(), cacheIndexSize)
	}
	req := &request{key: cacheIndexSize + 99, class: &h.router.settings.Classes[1]}
	h.router.now = h.now
	h.router.recordCached(e, req, true)
	if !h.router.likelyCached(e, req) {
		t.Fatal("a new record does not count")
	}
	if h.router.now += req.class.FreshFor; h.router.likelyCached(e, req) {
		t.Fatal("the record of a copy that is no longer fresh counts")
	}
}
