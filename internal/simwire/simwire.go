// Package simwire translates between the simulator's JSON lines and the events and actions of package policy.
// It decides nothing.
package simwire

import (
	"encoding/json"
	"time"

	"cloverdoor/policy"
)

type batch struct {
	Moment   *int64            `json:"moment-us"`
	Happened []json.RawMessage `json:"happened"`
}

type event struct {
	Op    string          `json:"op"`
	Proxy string          `json:"proxy-id"`
	Seed  uint64          `json:"prng"`
	Conf  json.RawMessage `json:"conf"`
	Ref   int             `json:"ref"`
	Hosts []host          `json:"hosts"`
	Mode  int             `json:"mode"`

	Job     int64   `json:"job"`
	Asset   string  `json:"asset"`
	Kind    int     `json:"kind"`
	Expires int64   `json:"expires-in-us"`
	SizeKB  float64 `json:"size-kb"`
	Part    float64 `json:"part"`
	SetNo   float64 `json:"set-no"`

	Mark       uint64 `json:"mark"`
	Try        int    `json:"try"`
	Verdict    int    `json:"verdict"`
	Duration   int64  `json:"duration-us"`
	Finished   bool   `json:"finished"`
	Note       int    `json:"note"`
	SourceWait int64  `json:"source-wait-us"`
	Age        int64  `json:"age-us"`
}

type host struct {
	Since  int64   `json:"online-since-us"`
	Status int     `json:"status"`
	Kind   int     `json:"class-of-host"`
	Zone   int     `json:"rack-zone"`
	Share  float64 `json:"share"`
	Store  string  `json:"store"`
	Stripe int     `json:"stripe"`
}

type action struct {
	Op       string  `json:"op"`
	Proxy    string  `json:"proxy-id"`
	Job      *int64  `json:"job,omitempty"`
	Store    string  `json:"store,omitempty"`
	Source   string  `json:"from-where,omitempty"`
	Rank     *int    `json:"hold-rank,omitempty"`
	Manner   int     `json:"manner,omitempty"`
	Age      int64   `json:"age-us,omitempty"`
	CoolDown int64   `json:"cool-down-us,omitempty"`
	Try      *int    `json:"try,omitempty"`
	In       *int64  `json:"in-us,omitempty"`
	Mark     *uint64 `json:"mark,omitempty"`
	Message  string  `json:"message,omitempty"`
}

type reply struct {
	Cmds []action `json:"cmds"`
}

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
