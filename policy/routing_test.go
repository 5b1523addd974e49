package policy

import "testing"

// With every cache of the zone suspect a request goes straight to a parent.
func TestRequestGoesToParentWhenAllCachesAreEjected(t *testing.T) {
	g := newRig(t)
	for _, id := range []string{"a", "b", "c"} {
		g.r.endpoints[id].eject(g.n)
	}
	if f := fetchOf(g.request(1, "x", 0)); f.Target != "p" && f.Target != "q" || f.Source != "o" {
		t.Fatalf("%+v", f)
	}
}
