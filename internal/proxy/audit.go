package proxy

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

const (
	// auditSlack is what the rules allow on sockets beyond their own times.
	auditSlack = 50 * time.Millisecond
	// drainGrace is how long after a server was told to leave it may be sent something, where the settings tell nothing.
	drainGrace = 500 * time.Millisecond
	// leavingMemory is for how long a server that has been told to leave is looked out for: no request lives as long.
	leavingMemory = 11 * time.Minute
	// leftGrace is how long after its client has left an attempt may begin.
	leftGrace = 100 * time.Millisecond
)

// audit checks after the fact what has been done, by records of its own: what the guards go by is not looked at. In service it
// counts; a test has it end the program.
type audit struct {
	p        *Proxy
	leaving  map[string]eventloop.Timestamp // when each server was told to leave
	purges   map[any]purgeRecord            // by object or group
	counts   [violations]int64
	violated func(text string) // nil: only counted
}

// purgeRecord is a purge as the coordinator told it.
type purgeRecord struct {
	at   int64               // Unix millisecond
	told eventloop.Timestamp // to this process
}

// violation is a rule that was broken.
type violation int

// The violations that are counted.
const (
	secondAnswer violation = iota
	unanswered
	ranTwice
	refusedAfterRun
	sentToLeaving
	servedPurged
	begunAfterLeft
	violations
)

var violationNames = [violations]string{
	"second_answer", "unanswered", "ran_twice", "refused_after_run", "sent_to_leaving", "served_purged", "begun_after_left",
}

func newAudit(p *Proxy, violated func(string)) *audit {
	return &audit{p: p, leaving: map[string]eventloop.Timestamp{}, purges: map[any]purgeRecord{}, violated: violated}
}

// report counts a violation.
func (u *audit) report(v violation, q *request, detail string) {
	u.counts[v]++
	u.p.log.Error("rule broken", "violation", violationNames[v], "request", q.ID, "class", q.ClassName, "detail", detail)
	if u.violated != nil {
		u.violated(fmt.Sprintf("%s: request %s of class %s: %s", violationNames[v], q.ID, q.ClassName, detail))
	}
}

// told takes note of an event of the coordinator.
func (u *audit) told(ev watch.Event) {
	now := u.p.loop.Now()
	if v := ev.Purge; v != nil && v.At > 0 {
		u.purged(v, now)
	}
	if ev.Endpoints == nil {
		return
	}
	maps.DeleteFunc(u.leaving, func(_ string, since eventloop.Timestamp) bool { return now-since > leavingMemory })
	if ev.Endpoints.Full {
		for id := range u.p.endpoints.startMillis {
			u.leave(id, now)
		}
	}
	for _, s := range ev.Endpoints.Endpoints {
		if s.State == watch.StateServing {
			delete(u.leaving, s.ID)
		} else {
			u.leave(s.ID, now)
		}
	}
}

func (u *audit) leave(id string, now eventloop.Timestamp) {
	if _, known := u.leaving[id]; !known {
		u.leaving[id] = now
	}
}

func (u *audit) purged(v *watch.Purge, now eventloop.Timestamp) {
	for key, record := range u.purges {
		if now-record.told > u.p.set.Policy.PurgeCompletedWithin+time.Second {
			delete(u.purges, key)
		}
	}
	key := any(v.Object)
	if v.Object == "" {
		if v.Group == nil {
			return
		}
		key = *v.Group
	}
	if u.purges[key].at < v.At {
		u.purges[key] = purgeRecord{at: v.At, told: now}
	}
}

// began looks at an attempt whose first byte has gone.
func (u *audit) began(a *attempt, source string) {
	now := u.p.loop.CurrentTime()
	for _, id := range []string{a.target, source} {
		if since, leaving := u.leaving[id]; leaving && now-since > drainGrace+auditSlack {
			u.report(sentToLeaving, a.req, id)
		}
	}
	if since := a.req.to.ClientDisconnected().Since; since != 0 && now-since > leftGrace+auditSlack {
		u.report(begunAfterLeft, a.req, fmt.Sprintf("%v after", now-since))
	}
	a.began = now
}

// wrote looks at an attempt whose last byte has gone: it may run from now on.
func (u *audit) wrote(a *attempt) {
	if a.req.effect == policy.NonIdempotent && a.req.mayHaveRun {
		u.report(ranTwice, a.req, a.target)
	}
	a.req.mayHaveRun = true
}

// ended looks at the end of an attempt that was written whole.
func (u *audit) ended(a *attempt, result policy.Result) {
	switch result {
	case policy.ResultRejected, policy.ResultNotFound, policy.ResultNotSent, policy.ResultConnectFailed:
		if a.written {
			a.req.mayHaveRun = false
		}
	}
}

// served looks at a good answer.
func (u *audit) served(a *attempt, ans resp.Answer) {
	if ans.CreatedAtMillis == 0 {
		return
	}
	for _, key := range []any{a.req.Object, a.req.Group} {
		purge, known := u.purges[key]
		if known && a.began-purge.told > u.p.set.Policy.PurgeGrace+auditSlack && ans.CreatedAtMillis < purge.at {
			u.report(servedPurged, a.req, fmt.Sprintf("%d ms older than the purge", purge.at-ans.CreatedAtMillis))
		}
	}
}

// answered looks at a final answer.
func (u *audit) answered(q *request, status Status) {
	if q.answers++; q.answers > 1 {
		u.report(secondAnswer, q, "")
	}
	refused := status == Rejected || status == Overloaded
	if refused && q.effect == policy.NonIdempotent && q.mayHaveRun {
		u.report(refusedAfterRun, q, "")
	}
}

// closed looks at requests that are given up as their connection ends. Only the peer may end it so.
func (u *audit) closed(q *request, byPeer bool) {
	if !byPeer && q.answers == 0 {
		u.report(unanswered, q, "connection closed")
	}
}

// write adds the figures.
func (u *audit) write(b *strings.Builder) {
	for v, count := range u.counts {
		fmt.Fprintf(b, "svc_violations{rule=%q} %d\n", violationNames[v], count)
	}
}
