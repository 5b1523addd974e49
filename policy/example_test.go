package policy_test

import (
	"fmt"
	"time"

	"cloverdoor/policy"
)

// A proxy passes events to the router and carries out the actions that it returns.
func Example() {
	router := policy.New(policy.Settings{
		Zone: 1, ParentKind: 1, OriginKind: 2, Routers: 1, RoutersInZone: 1, TransferKBPerSecond: 5000,
		Siblings: policy.SiblingsZone, MaxAttempts: 4,
		Classes: []policy.Class{{
			Name: "page", Idempotency: policy.Idempotent, LatencyObjective: time.Second, PriorityWeight: 1,
		}},
	}, 42)
	now := time.Hour // any clock that never goes backwards
	router.Handle(now, policy.EndpointUpdate{Full: true, Endpoints: []policy.Endpoint{
		{ID: "cache-1", State: policy.Ready, Zone: 1},
		{ID: "parent-1", State: policy.Ready, Kind: 1},
		{ID: "origin", State: policy.Ready, Kind: 2},
	}})
	request := policy.Request{ID: 1, Object: "a.html", SizeKB: 50, Remaining: 3 * time.Second}
	for _, action := range router.Handle(now, request) {
		switch a := action.(type) {
		case policy.Fetch:
			fmt.Printf("fetch from %s, fill from %s, retention rank %d\n",
				a.Target, a.Source, a.RetentionRank)
		case policy.StartTimer:
			fmt.Println("timer is set:", a.In > 0)
		}
	}
	router.Handle(now+30*time.Millisecond, policy.Outcome{
		ID: 1, Result: policy.ResultOK, CacheStatus: policy.CacheStatusFilled,
		Elapsed: 30 * time.Millisecond, SourceFirstByte: 8 * time.Millisecond, RequestFinished: true,
	})
	// Output:
	// fetch from cache-1, fill from parent-1, retention rank 1
	// timer is set: true
}
