package policy

import (
	"fmt"
	"testing"
	"time"
)

// When a zone is lost, all routers refuse at once, and clients come back when they are told to. Over the fleet they come
// back evenly: no 20 ms of the time that is advised bring more than twice their part, and none comes too soon.
func TestFleetSpreadsItsRefusals(t *testing.T) {
	const routers, each, bin = 300, 5, 20 * time.Millisecond
	comeBack := map[time.Duration]int{}
	for i := range routers {
		set := world()
		set.Routers, set.RoutersInZone, set.RouterIndex = routers, routers, i
		r := New(set, uint64(i))
		r.Handle(time.Hour, EndpointUpdate{Full: true})
		for id := range int64(each) {
			acts := r.Handle(time.Hour, Request{ID: id + 1, Object: fmt.Sprint(id), Remaining: 3 * time.Second})
			refusal, ok := acts[len(acts)-1].(Reject)
			if !ok || refusal.RetryAfter < minComeBack || refusal.RetryAfter >= 2*minComeBack {
				t.Fatalf("router %d: %+v", i, acts)
			}
			comeBack[refusal.RetryAfter/bin]++
		}
	}
	part := float64(routers*each) / float64(minComeBack/bin)
	for i, n := range comeBack {
		if float64(n) > 2*part {
			t.Errorf("%d come back in the 20 ms from %v on, %.1f are its part", n, i*bin, part)
		}
	}
}

// When all copies go void, each of many routers asks for the same objects at once. Their first attempts join the fill that
// is under way at the cache that all of them pick, and go to no more than one cache and one parent for an object.
func TestFleetJoinsFillsAfterAFlush(t *testing.T) {
	const routers = 80
	for object := range 20 {
		targets, sources := map[string]bool{}, map[string]bool{}
		for i := range routers {
			set := world()
			set.Routers, set.RoutersInZone, set.RouterIndex = routers, routers, i
			r := New(set, uint64(i))
			r.Handle(time.Hour, everybody())
			for group := range 32 {
				r.Handle(time.Hour, Purge{Group: group, Age: 50 * ms})
			}
			f := fetchOf(r.Handle(time.Hour+ms, Request{ID: 1, Object: fmt.Sprint(object), Group: object, SizeKB: 10, Remaining: 3 * time.Second}))
			if f == nil || !f.CoalesceFill || f.MaxAge != 51*ms {
				t.Fatalf("router %d, object %d: %+v", i, object, f)
			}
			targets[f.Target], sources[f.Source] = true, true
		}
		if len(targets) != 1 || len(sources) != 1 {
			t.Errorf("object %d is filled at %v from %v", object, targets, sources)
		}
	}
}
