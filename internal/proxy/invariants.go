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
	// checkTolerance is what the rules allow on sockets beyond their own times.
	checkTolerance = 50 * time.Millisecond
	// drainGracePeriod is how long after a server was told to leave it may be sent something, where the settings tell nothing.
	drainGracePeriod = 500 * time.Millisecond
	// drainingRetention is for how long a server that has been told to leave is looked out for: no request lives as long.
	drainingRetention = 11 * time.Minute
	// disconnectGracePeriod is how long after its client has left an attempt may begin.
	disconnectGracePeriod = 100 * time.Millisecond
)

// invariantChecker checks after the fact what has been done, by records of its own: what the guards go by is not looked at. In service it
// counts; a test has it end the program.
type invariantChecker struct {
	p             *Proxy
	drainingSince map[string]eventloop.Timestamp // when each server was told to leave
	purges        map[any]purgeRecord            // by object or group
	counts        [violationCount]int64
	onViolation   func(text string) // nil: only counted
}

// purgeRecord is a purge as the coordinator told it.
type purgeRecord struct {
	createdBefore int64               // Unix millisecond
	receivedAt    eventloop.Timestamp // to this process
}

// violation is a rule that was broken.
type violation int

// The violationCount that are counted.
const (
	secondAnswer violation = iota
	unanswered
	executedTwice
	rejectedAfterExecution
	sentToDraining
	servedPurged
	startedAfterDisconnect
	violationCount
)

var violationNames = [violationCount]string{
	"second_answer", "unanswered", "ran_twice", "refused_after_run", "sent_to_leaving", "served_purged", "begun_after_left",
}

func newInvariantChecker(p *Proxy, violated func(string)) *invariantChecker {
	return &invariantChecker{p: p, drainingSince: map[string]eventloop.Timestamp{}, purges: map[any]purgeRecord{}, onViolation: violated}
}

// report counts a violation.
func (u *invariantChecker) report(v violation, q *request, detail string) {
	u.counts[v]++
	u.p.log.Error("rule broken", "violation", violationNames[v], "request", q.ID, "class", q.ClassName, "detail", detail)
	if u.onViolation != nil {
		u.onViolation(fmt.Sprintf("%s: request %s of class %s: %s", violationNames[v], q.ID, q.ClassName, detail))
	}
}

// observeEvent takes note of an event of the coordinator.
func (u *invariantChecker) observeEvent(ev watch.Event) {
	now := u.p.loop.Now()
	if v := ev.Purge; v != nil && v.At > 0 {
		u.recordPurge(v, now)
	}
	if ev.Endpoints == nil {
		return
	}
	maps.DeleteFunc(u.drainingSince, func(_ string, since eventloop.Timestamp) bool { return now-since > drainingRetention })
	if ev.Endpoints.Full {
		for id := range u.p.servers {
			u.markDraining(id, now)
		}
	}
	for _, s := range ev.Endpoints.Endpoints {
		if s.State == watch.StateServing {
			delete(u.drainingSince, s.ID)
		} else {
			u.markDraining(s.ID, now)
		}
	}
}

func (u *invariantChecker) markDraining(id string, now eventloop.Timestamp) {
	if _, known := u.drainingSince[id]; !known {
		u.drainingSince[id] = now
	}
}

func (u *invariantChecker) recordPurge(v *watch.Purge, now eventloop.Timestamp) {
	for key, record := range u.purges {
		if now-record.receivedAt > u.p.set.Policy.PurgeCompletedWithin+time.Second {
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
	if u.purges[key].createdBefore < v.At {
		u.purges[key] = purgeRecord{createdBefore: v.At, receivedAt: now}
	}
}

// checkSent looks at an attempt whose first byte has gone.
func (u *invariantChecker) checkSent(a *attempt, source string) {
	now := u.p.loop.CurrentTime()
	for _, id := range []string{a.target, source} {
		if since, leaving := u.drainingSince[id]; leaving && now-since > drainGracePeriod+checkTolerance {
			u.report(sentToDraining, a.req, id)
		}
	}
	if since := a.req.responder.ClientDisconnected().Since; since != 0 && now-since > disconnectGracePeriod+checkTolerance {
		u.report(startedAfterDisconnect, a.req, fmt.Sprintf("%v after", now-since))
	}
	a.sentAt = now
}

// checkWritten looks at an attempt whose last byte has gone: it may run from now on.
func (u *invariantChecker) checkWritten(a *attempt) {
	if a.req.idempotency == policy.NonIdempotent && a.req.mayHaveRun {
		u.report(executedTwice, a.req, a.target)
	}
	a.req.mayHaveRun = true
}

// observeEnd looks at the end of an attempt that was written whole.
func (u *invariantChecker) observeEnd(a *attempt, result policy.Result) {
	switch result {
	case policy.ResultRejected, policy.ResultNotFound, policy.ResultNotSent, policy.ResultConnectFailed:
		if a.written {
			a.req.mayHaveRun = false
		}
	}
}

// checkServed looks at a good answer.
func (u *invariantChecker) checkServed(a *attempt, ans resp.Answer) {
	if ans.CreatedAtMillis == 0 {
		return
	}
	for _, key := range []any{a.req.Object, a.req.Group} {
		purge, known := u.purges[key]
		if known && a.sentAt-purge.receivedAt > u.p.set.Policy.PurgeGrace+checkTolerance && ans.CreatedAtMillis < purge.createdBefore {
			u.report(servedPurged, a.req, fmt.Sprintf("%d ms older than the purge", purge.createdBefore-ans.CreatedAtMillis))
		}
	}
}

// checkFinalAnswer looks at a final answer.
func (u *invariantChecker) checkFinalAnswer(q *request, status Status) {
	if q.finalAnswers++; q.finalAnswers > 1 {
		u.report(secondAnswer, q, "")
	}
	refused := status == Rejected || status == Overloaded
	if refused && q.idempotency == policy.NonIdempotent && q.mayHaveRun {
		u.report(rejectedAfterExecution, q, "")
	}
}

// checkConnectionClosed looks at requests that are given up as their connection ends. Only the peer may end it so.
func (u *invariantChecker) checkConnectionClosed(q *request, byPeer bool) {
	if !byPeer && q.finalAnswers == 0 {
		u.report(unanswered, q, "connection closed")
	}
}

// writeFigures adds the figures.
func (u *invariantChecker) writeFigures(b *strings.Builder) {
	for v, count := range u.counts {
		fmt.Fprintf(b, "svc_violations{rule=%q} %d\n", violationNames[v], count)
	}
}
