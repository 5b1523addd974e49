package simwire

import (
	"time"

	"cloverdoor/policy"
)

// Flags of a fetch. A message carries the sum of those that are set.
const (
	flagCoalesceFill         = 1
	flagSourceCachedOnly     = 2
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
		delay := toMicroseconds(a.In)
		return action{Name: actionStartTimer, Instance: instance, In: &delay, Token: &a.Token}
	}
	panic("unknown action")
}

// fetchFlags returns the sum of the flags that are set.
func fetchFlags(fetch policy.Fetch) int {
	sum := 0
	if fetch.CoalesceFill {
		sum += flagCoalesceFill
	}
	if fetch.SourceCachedOnly {
		sum += flagSourceCachedOnly
	}
	if fetch.StaleWhileRevalidate {
		sum += flagStaleWhileRevalidate
	}
	return sum
}

func toMicroseconds(d time.Duration) microseconds { return microseconds(d.Microseconds()) }
