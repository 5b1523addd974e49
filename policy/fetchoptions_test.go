package policy

import (
	"fmt"
	"testing"
	"time"
)

// After a purge of everything, many routers request the same objects at once. Their first attempts wait for
// the fill in progress at the cache that all of them select: each object has one target and one fill source.
func TestFleetCoalescesFillsAfterPurge(t *testing.T) {
	const routers = 80
	for object := range 20 {
		targets, sources := map[string]bool{}, map[string]bool{}
		for i := range routers {
			settings := testSettings()
			settings.Routers, settings.RoutersInZone, settings.RouterIndex = routers, routers, i
			r := New(settings, uint64(i))
			r.Handle(time.Hour, allEndpoints())
			for group := range 32 {
				r.Handle(time.Hour, Purge{Group: group, Age: 50 * ms})
			}
			f := fetchOf(r.Handle(time.Hour+ms, Request{ID: 1, Object: fmt.Sprint(object), Group: object,
				SizeKB: 10, Remaining: 3 * time.Second}))
			if f == nil || !f.CoalesceFill || f.MaxAge != 51*ms {
				t.Fatalf("router %d, object %d: got %+v, want CoalesceFill and MaxAge 51ms", i, object, f)
			}
			targets[f.Target], sources[f.Source] = true, true
		}
		if len(targets) != 1 || len(sources) != 1 {
			t.Errorf("object %d: targets %v and sources %v, want one each", object, targets, sources)
		}
	}
}
