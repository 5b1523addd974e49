package policy

import "testing"

// A restarted cache is empty: no belief in it is left, and its ratio starts anew.
func TestRestartClearsCopyRecords(t *testing.T) {
	g := newRig(t)
	home := g.serve(1, "x", CacheStatusFilled).Target
	m := g.r.members[home]
	m.misindication.add(true)
	if m.copies.Len() != 1 {
		t.Fatalf("%d copy records", m.copies.Len())
	}
	g.do(EndpointUpdate{Endpoints: []Endpoint{{ID: home, State: Ready, Zone: 1, Weight: 5, Started: g.n}}})
	if m.copies.Len() != 0 || m.misindication != (ratio{}) {
		t.Fatalf("%d copy records, ratio %+v after a restart", m.copies.Len(), m.misindication)
	}
}

func TestCopyRecordsAreBounded(t *testing.T) {
	g := newRig(t)
	m := g.r.members["a"]
	for i := uint64(0); i < copyTableSize+100; i++ {
		g.r.recordCopy(m, &request{key: i, class: &g.r.settings.Classes[0]}, true)
	}
	if m.copies.Len() != copyTableSize {
		t.Fatalf("%d copy records, want %d", m.copies.Len(), copyTableSize)
	}
	req := &request{key: copyTableSize + 99, class: &g.r.settings.Classes[1]}
	g.r.now = g.n
	g.r.recordCopy(m, req, true)
	if !g.r.likelyHolds(m, req) {
		t.Fatal("a new belief must count")
	}
	if g.r.now += req.class.FreshFor; g.r.likelyHolds(m, req) {
		t.Fatal("a copy past its fresh time is believed in")
	}
}
