package proxy

// This file determines how an attempt ended, and thereby whether its call was executed. The decision module
// bases its retries on that.
//
//	result         cause                                                          call executed
//	OK             good answer                                                    yes
//	NotFound       the server answered that it lacks the object                   no
//	Rejected       the server answered that it is overloaded                      no
//	NotSent        not written completely, for a reason on this side; or the
//	               server answered that it did not execute the call               no
//	ConnectFailed  no connection came up, or it broke or the request's deadline
//	               passed before the last byte was written                        no
//	Reset          the connection broke after the last byte                       unknown
//	Timeout        no answer by the request's deadline, after the last byte       unknown
//	Cancelled      cancelled after a part or all of the call was written          unknown
//	Error          the server answered that it crashed, or with an answer that
//	               can't be used                                                  unknown

import (
	"errors"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// resultByStatus maps the status of an answer to the result of its attempt. A status that is not listed yields
// ResultError.
var resultByStatus = map[resp.Status]policy.Result{
	resp.StatusServed:      policy.ResultOK,
	resp.StatusNotModified: policy.ResultOK,
	resp.StatusNotFound:    policy.ResultNotFound,
	resp.StatusOverloaded:  policy.ResultRejected,
	resp.StatusCrashed:     policy.ResultError,
	resp.StatusNotRun:      policy.ResultNotSent,
}

// cacheStatuses maps cache statuses to those of the decision module. A status that is not listed becomes
// CacheStatusNone.
var cacheStatuses = map[resp.CacheStatus]policy.CacheStatus{
	resp.CacheStatusHit:            policy.CacheStatusHit,
	resp.CacheStatusFilled:         policy.CacheStatusFilled,
	resp.CacheStatusFilledByOrigin: policy.CacheStatusFilledByOrigin,
	resp.CacheStatusCoalesced:      policy.CacheStatusCoalesced,
	resp.CacheStatusStale:          policy.CacheStatusStale,
	resp.CacheStatusSourceRejected: policy.CacheStatusSourceRejected,
	resp.CacheStatusSourceFailed:   policy.CacheStatusSourceFailed,
	resp.CacheStatusSourceMiss:     policy.CacheStatusSourceMiss,
	resp.CacheStatusNoFillCapacity: policy.CacheStatusNoFillCapacity,
	resp.CacheStatusOriginFailed:   policy.CacheStatusOriginFailed,
}

// handleAnswer ends an attempt with the server's answer. The first good answer is the request's final one.
func (p *Proxy) handleAnswer(a *attempt, ans resp.Answer) {
	result := a.resultOfAnswer(ans)
	if result == policy.ResultOK {
		p.invariants.checkServed(a, ans)
		status := Served
		if ans.Status == resp.StatusNotModified {
			status = NotModified
			ans.Body = nil
		}
		p.answer(a.req, Answer{Status: status, Version: ans.Version, Body: ans.Body})
	}
	p.endAttempt(a, ans, result)
}

// resultOfAnswer returns the result of an attempt that got the answer.
func (a *attempt) resultOfAnswer(ans resp.Answer) policy.Result {
	result := resultByStatus[ans.Status]
	if result != policy.ResultOK {
		return result
	}
	if a.exceedsMaxAge(ans) {
		// A coalesced fill may have begun before a purge.
		return policy.ResultError
	}
	if ans.Status == resp.StatusNotModified && !a.confirmsKnownVersion(ans) {
		// The server has not confirmed the client's copy, which the client would take for current. The answer
		// is well formed: other calls on the connection are not affected.
		return policy.ResultError
	}
	return policy.ResultOK
}

// exceedsMaxAge reports whether a copy is older than the call allowed. An answer without a creation time is
// accepted.
func (a *attempt) exceedsMaxAge(ans resp.Answer) bool {
	return ans.CreatedAtMillis > 0 && ans.CreatedAtMillis < a.oldestCopyMillis
}

// confirmsKnownVersion reports whether an answer names the version of the client's copy.
func (a *attempt) confirmsKnownVersion(ans resp.Answer) bool {
	return a.req.KnownVersion != "" && ans.Version == a.req.KnownVersion
}

// resultOfClose returns the result of the attempts on a connection that ended with err.
func resultOfClose(err error) policy.Result {
	if errors.Is(err, eventloop.ErrNotConnected) {
		return resultOfConnectError(err)
	}
	return policy.ResultReset
}

// resultOfConnectError returns the result of an attempt whose connection was not established. A lack of
// resources on this machine does not count against the server.
func resultOfConnectError(err error) policy.Result {
	if errors.Is(err, eventloop.ErrLocalResourcesExhausted) || errors.Is(err, connpool.ErrConnLimit) {
		return policy.ResultNotSent
	}
	return policy.ResultConnectFailed
}

// resultIfNeverSent replaces the result of an attempt whose call was not written completely by one that says that
// the call was not executed.
func resultIfNeverSent(result policy.Result) policy.Result {
	switch result {
	case policy.ResultCancelled:
		return policy.ResultNotSent
	case policy.ResultTimeout, policy.ResultReset:
		return policy.ResultConnectFailed
	}
	return result
}

// neverSent reports whether the call of an ended attempt has not been written completely and never will be.
func (a *attempt) neverSent() bool {
	return !a.started || !a.written && a.upstream.conn.Ended()
}

// requiresConnClose reports whether an attempt can be cancelled only by closing its connection. That is the
// case if hedging is not allowed and a retry may follow: a server that hangs does not read the STOP command
// and would execute the call in addition to its retry.
func (p *Proxy) requiresConnClose(a *attempt) bool {
	return !p.config.Policy.Hedging && a.started && !a.req.finished
}

// canCancel reports whether an attempt can be cancelled without harm to other calls on its connection.
func (p *Proxy) canCancel(a *attempt) bool {
	return !p.requiresConnClose(a) || a.ended || a.upstream.conn.InUse == 1
}

// endAttempt ends an attempt and notifies the decision module. It does nothing if the attempt has ended
// already. ans is the zero Answer if the server gave none; a call that has been sent is then stopped.
func (p *Proxy) endAttempt(a *attempt, ans resp.Answer, result policy.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.req.openAttempts--
	answered := ans.Status != 0
	if a.upstream != nil {
		a.upstream.release(a, answered) // may close the connection; neverSent depends on whether it is closed
	}
	if !answered && a.neverSent() {
		result = resultIfNeverSent(result)
	}
	a.result = result
	p.invariants.observeEnd(a, result)
	p.notify(policy.Outcome{
		ID:                   a.req.number,
		Attempt:              a.number,
		Result:               result,
		CacheStatus:          cacheStatuses[ans.CacheStatus],
		Elapsed:              p.loop.Now() - a.createdAt,
		SourceFirstByte:      ans.SourceFirstByte,
		FullPaceTransferTime: p.config.transferTime(len(ans.Body)),
		RequestFinished:      a.req.finished,
	})
	p.releaseIfDone(a.req)
}
