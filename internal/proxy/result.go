package proxy

import (
	"errors"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// handleAnswer takes the answer to an attempt. The first good one is the request's.
func (p *Proxy) handleAnswer(a *attempt, ans resp.Answer) {
	result := resultByStatus[ans.Status]
	// A fill that was joined may have begun before a purge. Its copy is not passed on; another attempt follows.
	if result == policy.ResultOK && a.exceedsMaxAge(ans) {
		result = policy.ResultError
	}
	// Otherwise the client would take a copy for current that nobody has named. The answer is well formed all the same:
	// what else is out on the connection is not harmed.
	if ans.Status == resp.StatusNotModified && (a.req.KnownVersion == "" || ans.Version != a.req.KnownVersion) {
		result = policy.ResultError
	}
	if result == policy.ResultOK {
		p.invariants.checkServed(a, ans)
		status := Served
		if ans.Status == resp.StatusNotModified {
			status, ans.Body = NotModified, nil
		}
		p.answer(a.req, Answer{Status: status, Version: ans.Version, Body: ans.Body})
	}
	p.endAttempt(a, ans, result)
}

// exceedsMaxAge says that a copy was made before what the call asked for. Answers that do not say when are trusted.
func (a *attempt) exceedsMaxAge(ans resp.Answer) bool {
	return ans.CreatedAtMillis > 0 && ans.CreatedAtMillis < a.oldestCopyMillis
}

// A word without a result counts as an error: it may have run.
var resultByStatus = map[resp.Status]policy.Result{
	resp.StatusServed: policy.ResultOK, resp.StatusNotModified: policy.ResultOK, resp.StatusNotFound: policy.ResultNotFound,
	resp.StatusOverloaded: policy.ResultRejected, resp.StatusCrashed: policy.ResultError, resp.StatusNotRun: policy.ResultNotSent,
}

// requiresConnClose says that a call is given up so that another may follow, where no second one may be out: a
// server that hangs does not read the STOP; only the end of its connection gives up what is open on it.
func (p *Proxy) requiresConnClose(a *attempt) bool {
	return !p.set.Policy.Hedging && a.started && !a.req.finished
}

// canCancel says whether a call can be given up: one that must close its connection only where no other call is on it.
// It goes on then, until its answer or its deadline.
func (p *Proxy) canCancel(a *attempt) bool {
	return !p.requiresConnClose(a) || a.ended || a.upstream.conn.InUse == 1
}

// endAttempt ends an attempt and tells the module of it, once. A call that is out is stopped.
func (p *Proxy) endAttempt(a *attempt, ans resp.Answer, result policy.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.req.openAttempts--
	if a.upstream != nil {
		a.upstream.release(a, ans.Status == 0)
	}
	if a.neverSent() && ans.Status == 0 { // whatever ended it
		switch result {
		case policy.ResultCancelled:
			result = policy.ResultNotSent
		case policy.ResultTimeout, policy.ResultReset:
			result = policy.ResultConnectFailed
		}
	}
	a.result = result
	p.invariants.observeEnd(a, result)
	p.notify(policy.Outcome{ID: a.req.moduleID, Attempt: a.number, Result: result, CacheStatus: policy.CacheStatus(ans.CacheStatus),
		Elapsed: p.loop.Now() - a.created, SourceFirstByte: ans.SourceFirstByte, TransferTime: p.transferTime(ans), RequestFinished: a.req.finished})
	p.releaseIfDone(a.req)
}

// neverSent says that a call that has ended was not written whole, and never will be.
func (a *attempt) neverSent() bool { return !a.started || !a.written && a.upstream.conn.Ended() }

// transferTime is how long an answer's bytes take at the pace of one transfer.
func (p *Proxy) transferTime(ans resp.Answer) time.Duration {
	if p.transferBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(len(ans.Body)) / p.transferBytesPerSecond * float64(time.Second))
}

// resultOfConnectError is how a call ended whose connection did not come up. What this machine lacks is no fault of the server.
func resultOfConnectError(err error) policy.Result {
	if errors.Is(err, eventloop.ErrLocalResources) || errors.Is(err, connpool.ErrConnLimit) {
		return policy.ResultNotSent
	}
	return policy.ResultConnectFailed
}
