package policy

import "testing"

// If every cache of the zone is ejected, a request goes directly to a parent.
func TestRequestGoesToParentWhenAllCachesAreEjected(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c"} {
		h.router.endpoints[id].eject(h.now)
	}
	if f := fetchOf(h.request(1, "x", 0)); f.Target != "p" && f.Target != "q" || f.Source != "o" {
		t.Fatalf("got %+v, want a parent that fills from the origin", f)
	}
}
