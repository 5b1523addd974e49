package simwire

import (
	"time"

	"cloverdoor/policy"
)

// Flags of a fetch. A message carries the sum of those that are set.
const (
	flagCoalesceFill         = 1
	flagCachedOnly           = 2
	flagStaleWhileRevalidate = 8
)

// encodeAction converts an action of an instance.
func encodeAction(instance string, a policy.Action) action {
	switch a := a.(type) {
	case policy.Fetch:
		return action{
			Name:          actionFetch,
			Instance:      instance,
			Request:       &a.ID,
			Target:        a.Target,
			Source:        a.Source,
			RetentionRank: &a.RetentionRank,
			MaxAge:        toMicroseconds(a.MaxAge),
			FetchFlags:    fetchFlags(a),
		}
	case policy.Reject:
		return action{
			Name:       actionReject,
			Instance:   instance,
			Request:    &a.ID,
			RetryAfter: toMicroseconds(a.RetryAfter),
		}
	case policy.Fail:
		return action{Name: actionFail, Instance: instance, Request: &a.ID}
	case policy.Cancel:
		return action{Name: actionCancel, Instance: instance, Request: &a.ID, Attempt: &a.Attempt}
	case policy.StartTimer:
		in := toMicroseconds(a.In)
		return action{Name: actionStartTimer, Instance: instance, In: &in, Token: &a.Token}
	}
	panic("unknown action")
}

// fetchFlags returns the sum of the flags that are set.
func fetchFlags(f policy.Fetch) int {
	sum := 0
	if f.CoalesceFill {
		sum += flagCoalesceFill
	}
	if f.SourceCachedOnly {
		sum += flagCachedOnly
	}
	if f.StaleWhileRevalidate {
		sum += flagStaleWhileRevalidate
	}
	return sum
}

func toMicroseconds(d time.Duration) microseconds { return microseconds(d.Microseconds()) }
