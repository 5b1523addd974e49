package proxy

// This file executes the actions of the decision module.

import (
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// execute carries out one action of the decision module. An action for a request that has been released
// meanwhile is ignored.
func (p *Proxy) execute(action policy.Action) {
	switch action := action.(type) {
	case policy.Fetch:
		if q := p.requests[action.ID]; q != nil {
			p.startAttempt(q, action)
		}
	case policy.Reject:
		p.answer(p.requests[action.ID], Answer{Status: Rejected, RetryAfter: action.RetryAfter, Reason: action.Reason})
	case policy.Fail:
		p.answer(p.requests[action.ID], Answer{Status: Failed, Reason: action.Reason})
	case policy.Cancel:
		p.cancelAttempt(action)
	case policy.StartTimer:
		p.startTimer(action)
	}
}

// cancelAttempt ends an attempt whose answer is no longer wanted. An attempt that can't be cancelled continues
// until its answer or its deadline.
func (p *Proxy) cancelAttempt(action policy.Cancel) {
	q := p.requests[action.ID]
	if q == nil || action.Attempt >= len(q.attempts) {
		return
	}
	a := q.attempts[action.Attempt]
	if p.canCancel(a) {
		p.endAttempt(a, resp.Answer{}, policy.ResultCancelled)
	}
}

// startTimer notifies the decision module after the time that it has asked for.
func (p *Proxy) startTimer(action policy.StartTimer) {
	p.loop.At(p.loop.Now()+action.In, func() { p.notify(policy.TimerFired{Token: action.Token}) })
}
