package policy

import "testing"

// A restarted cache is empty: no belief in it is left, and its ratio starts anew.
func TestRestartClearsCacheIndex(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", CacheStatusFilled).Target
	m := g.r.endpoints[home]
	m.misindication.add(true)
	if m.cacheIndex.Len() != 1 {
		t.Fatalf("%d copy records", m.cacheIndex.Len())
	}
	g.do(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: g.n}}})
	if m.cacheIndex.Len() != 0 || m.misindication != (ratio{}) {
		t.Fatalf("%d copy records, ratio %+v after a restart", m.cacheIndex.Len(), m.misindication)
	}
}

func TestCacheIndexIsBounded(t *testing.T) {
	g := newRig(t)
	m := g.r.endpoints["a"]
	for i := uint64(0); i < cacheIndexSize+100; i++ {
		g.r.recordCached(m, &request{key: i, class: &g.r.settings.Classes[0]}, true)
	}
	if m.cacheIndex.Len() != cacheIndexSize {
		t.Fatalf("%d copy records, want %d", m.cacheIndex.Len(), cacheIndexSize)
	}
	req := &request{key: cacheIndexSize + 99, class: &g.r.settings.Classes[1]}
	g.r.now = g.n
	g.r.recordCached(m, req, true)
	if !g.r.likelyCached(m, req) {
		t.Fatal("a new belief must count")
	}
	if g.r.now += req.class.FreshFor; g.r.likelyCached(m, req) {
		t.Fatal("a copy past its fresh time is believed in")
	}
}
