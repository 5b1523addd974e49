package proxy

// This file sends the call of an attempt: the last check by the decision module, the encoding, and the effects
// of writing its first and its last byte.

import (
	"errors"
	"strconv"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

const (
	// maxPartialWriteTime is the longest time between the writes of a call's first and last byte. The call
	// states the time left to its deadline, which must be out of date by no more than 0.15 s when the server
	// has read the call.
	maxPartialWriteTime = 100 * time.Millisecond
	// maxAgeTolerance is the time by which the age of a copy may exceed the limit that its class sets, as both are
	// rounded to milliseconds.
	maxAgeTolerance = 2 * time.Millisecond
)

// catchUpInterval is the time after which a call is tried again whose client has input that has not been read.
const catchUpInterval = 20 * time.Millisecond

var errPartialWrite = errors.New("peer did not read the whole call in time")

// queueEntry is an attempt's call in the output queue of a connection. It implements eventloop.Message. Only
// the attempt's last entry is sent: a call that was moved to another connection and back is in the queue
// of the first connection twice, but must be sent only once.
type queueEntry struct {
	*attempt
	sequence int // number of the entry among the attempt's entries, from 1
}

// Encode encodes the call when its first byte is about to be written. It asks the decision module again, as
// the target may have begun to drain, or the object may have been purged, while the call waited for its
// connection. It returns false if the entry is not the attempt's last one, if the call has been started or its
// attempt has ended, if the call has to wait for input of its client, or if it may no longer be sent, which ends the
// attempt.
func (e queueEntry) Encode() ([]byte, bool) {
	a := e.attempt
	if a.ended || a.started || a.lastSequence != e.sequence {
		return nil, false
	}
	if !a.req.responder.PollClient() && !a.req.finished {
		a.sendLater()
		return nil, false
	}
	now := a.p.loop.ReadClock() // the process may have been suspended since the turn began
	fetch, allowed := a.maySend(now)
	if !allowed {
		a.p.endAttempt(a, resp.Answer{}, policy.ResultNotSent)
		return nil, false
	}
	a.source = fetch.Source
	a.oldestCopyMillis = a.oldestCopy(fetch, now).Milliseconds()
	call := a.call(fetch, now)
	return resp.AppendCall(nil, &call), true
}

// sendLater queues the call again after catchUpInterval. It is for a client whose end may wait behind input that has not
// been read.
func (a *attempt) sendLater() {
	a.lastSequence++
	sequence := a.lastSequence
	a.p.loop.At(a.p.loop.Now()+catchUpInterval, func() {
		if !a.ended && a.lastSequence == sequence {
			a.upstream.conn.Send(queueEntry{a, sequence})
		}
	})
}

// oldestCopy returns the earliest creation time of a copy that is accepted as the answer to a call that is sent at the
// time now, in the coordinator's time; 0: any time. A limit by a purge has no tolerance: a copy that exceeds it by any
// time may be older than the purge.
func (a *attempt) oldestCopy(fetch policy.Fetch, now eventloop.Timestamp) eventloop.Timestamp {
	var oldest eventloop.Timestamp
	if fetch.MaxAge > 0 {
		oldest = a.p.clock.toCoordinator(now) - fetch.MaxAge - maxAgeTolerance
	}
	if fetch.PurgeAge > 0 {
		oldest = max(oldest, a.p.clock.toCoordinator(now)-fetch.PurgeAge)
	}
	return oldest
}

// call returns the call to send at the time now, with the parameters of fetch, which the decision module has given.
func (a *attempt) call(fetch policy.Fetch, now eventloop.Timestamp) resp.Call {
	call := resp.Call{
		ID:                   a.req.ID,
		Class:                a.req.ClassName,
		Object:               a.req.Object,
		Part:                 strconv.Itoa(a.req.Part),
		Timeout:              max(a.req.deadline-now, time.Millisecond),
		RetentionRank:        fetch.RetentionRank,
		MaxAge:               fetch.MaxAge,
		KnownVersion:         a.req.KnownVersion,
		IdempotencyKey:       a.req.IdempotencyKey,
		CoalesceFill:         fetch.CoalesceFill,
		SourceCachedOnly:     fetch.SourceCachedOnly,
		StaleWhileRevalidate: fetch.StaleWhileRevalidate,
		Body:                 a.req.Body,
	}
	if fetch.Source != fetch.Target {
		call.Source = fetch.Source
	}
	return call
}

// maySend asks the decision module whether the call may be sent now, and with which parameters.
func (a *attempt) maySend(now eventloop.Timestamp) (policy.Fetch, bool) {
	disconnected := a.req.responder.ClientDisconnected().GraceOver
	if a.req.finished {
		a.p.counters.recordVerdict(actionSend, policy.Verdict{Rule: policy.RuleAnswer, Reason: policy.ReasonAnswered})
		return policy.Fetch{}, false
	}
	fetch, verdict := a.p.router.MaySend(now, policy.SendInfo{
		ID:                 a.req.number,
		Attempt:            a.number,
		Remaining:          a.req.deadline - now,
		ClientDisconnected: disconnected,
	})
	if a.p.counters.recordVerdict(actionSend, verdict) {
		return fetch, true
	}
	a.p.log.Info("attempt not sent", "request", a.req.ID, "attempt", a.number, "server", a.target,
		"rule", verdict.Rule, "reason", verdict.Reason)
	if verdict.Rule == policy.RuleClientDisconnected {
		a.p.cancelAfterDisconnect(a.req.number)
	}
	return policy.Fetch{}, false
}

// Started records that the first byte of the call has been written; complete says whether the last one has been too.
func (a *attempt) Started(complete bool) {
	a.started = true
	a.upstream.recordSent()
	a.p.invariants.checkSent(a)
	if !complete {
		a.p.loop.At(a.p.loop.ReadClock()+maxPartialWriteTime, a.failPartialWrite)
	}
}

// Written records that the last byte of the call has been written, and counts the attempt as forwarded.
func (a *attempt) Written() {
	a.written = true
	a.p.invariants.checkWritten(a)
	a.p.counters.countOutcome(a.req.ClassName, outcomeForwarded)
}

// failPartialWrite closes the connection with an error if the last byte of the call has still not been
// written, even if the attempt has ended: the rest of the call would delay the calls queued behind it.
func (a *attempt) failPartialWrite() {
	if !a.written {
		a.upstream.conn.Fail(errPartialWrite)
	}
}
