package simwire

import (
	"cloverdoor/policy"
	"time"
)

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

var states = map[int]policy.State{2: policy.Ready, 1: policy.Draining}

func members(hosts []host) []policy.Endpoint {
	list := make([]policy.Endpoint, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, policy.Endpoint{ID: h.Store, State: states[h.Status], Started: us(h.Since),
			Kind: h.Kind, Zone: h.Zone, Weight: h.Share, Cell: h.Stripe})
	}
	return list
}

var results = map[int]policy.Result{
	0: policy.ResultOK, 5: policy.ResultError, 11: policy.ResultRejected, 110: policy.ResultTimeout,
	111: policy.ResultConnectFailed, 104: policy.ResultReset, 125: policy.ResultCancelled,
	114: policy.ResultNotSent, 2: policy.ResultNotFound,
}

func note(n int) policy.CacheStatus {
	if n < int(policy.CacheStatusNone) || n > int(policy.CacheStatusOriginFailed) {
		return policy.CacheStatusNone
	}
	return policy.CacheStatus(n)
}

// decode gives the policy event for e, or nil for one that says nothing to the policy. A list's entries
// are resolved by the host, which knows the numbered lists.
func decode(e *event) policy.Event {
	switch e.Op {
	case "Ingress":
		return policy.Request{ID: e.Job, Object: e.Asset, Part: int(e.Part), Group: int(e.SetNo), Class: e.Kind,
			SizeKB: e.SizeKB, Remaining: us(e.Expires)}
	case "Reply":
		return policy.Outcome{ID: e.Job, Attempt: e.Try, Result: results[e.Verdict], CacheStatus: note(e.Note),
			Elapsed: us(e.Duration), SourceFirstByte: us(e.SourceWait), RequestFinished: e.Finished}
	case "FirstByte":
		return policy.StreamStarted{ID: e.Job, Attempt: e.Try}
	case "Voided":
		return policy.Purge{Object: e.Asset, Group: int(e.SetNo), Age: us(e.Age)}
	case "ClientLeft":
		return policy.ClientDisconnected{ID: e.Job}
	case "Due":
		return policy.TimerFired{Token: e.Mark}
	}
	return nil
}
