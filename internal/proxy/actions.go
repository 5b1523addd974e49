package proxy

import (
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

func (p *Proxy) execute(a policy.Action) {
	switch a := a.(type) {
	case policy.Fetch:
		if q := p.requests[a.ID]; q != nil {
			p.startAttempt(q, a)
		}
	case policy.Reject:
		p.answer(p.requests[a.ID], Answer{Status: Rejected, RetryAfter: a.RetryAfter})
	case policy.Fail:
		p.answer(p.requests[a.ID], Answer{Status: Failed})
	case policy.Cancel:
		if q := p.requests[a.ID]; q != nil && a.Attempt < len(q.attempts) && p.canCancel(q.attempts[a.Attempt]) {
			p.endAttempt(q.attempts[a.Attempt], resp.Answer{}, policy.ResultCancelled)
		}
	case policy.StartTimer:
		token := a.Token
		p.loop.At(p.loop.Now()+a.In, func() { p.notify(policy.TimerFired{Token: token}) })
	}
}
