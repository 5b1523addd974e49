package simwire

import "cloverdoor/policy"

func flag(on bool, bit int) int {
	if on {
		return bit
	}
	return 0
}

func encode(proxy string, a policy.Action) action {
	switch a := a.(type) {
	case policy.Fetch:
		return action{Op: "FetchThrough", Proxy: proxy, Job: &a.ID, Store: a.Target, Source: a.Source,
			Rank: &a.RetentionRank, Age: a.MaxAge.Microseconds(),
			Manner: flag(a.CoalesceFill, 1) + flag(a.CachedOnly, 2) + flag(a.StaleWhileRevalidate, 8)}
	case policy.Reject:
		return action{Op: "PushBack", Proxy: proxy, Job: &a.ID, CoolDown: a.RetryAfter.Microseconds()}
	case policy.Fail:
		return action{Op: "EndFailed", Proxy: proxy, Job: &a.ID}
	case policy.Cancel:
		return action{Op: "DropAttempt", Proxy: proxy, Job: &a.ID, Try: &a.Attempt}
	case policy.StartTimer:
		in := a.In.Microseconds()
		return action{Op: "Sleep", Proxy: proxy, In: &in, Mark: &a.Token}
	}
	panic("unknown action")
}
