package soak

import (
	"fmt"
	"time"
)

const (
	// answerSlack is how long after a request's timeout its answer may come.
	answerSlack = 500 * time.Millisecond
)

// checkFinalAnswers checks that a request got exactly one final answer, in time.
func (c *historyChecker) checkFinalAnswers(req *Request) {
	who := fmt.Sprintf("request %s (%s, proxy %d)", req.ID, req.Class, req.Proxy)
	keywords := []string{req.ID, proxyName(req.Proxy)}
	if len(req.Answers) > 1 {
		c.report("second answer", req.Answers[1].At, keywords, "%s got %d answers", who, len(req.Answers))
	}
	due, owed := c.answerDue(req)
	if !owed {
		return
	}
	if len(req.Answers) > 0 {
		late := req.Answers[0].At - due
		if late > 0 {
			c.report("late answer", req.Answers[0].At, keywords, "%s was due %.3f before", who, late.Seconds())
		}
		return
	}
	if req.DisconnectedAt != 0 {
		c.report("lost", req.DisconnectedAt, keywords, "%s was sent at %.3f, and its connection ended without an answer", who, req.SentAt.Seconds())
		return
	}
	c.report("lost", due, keywords, "%s was sent at %.3f, and never answered", who, req.SentAt.Seconds())
}

// answerDue returns when the answer to a request is due at the latest. None is owed where the request was not
// sent in full or was cancelled, or where its process was killed before. The kill that follows a SIGTERM at the
// earliest is no excuse: the process knows when it comes.
func (c *historyChecker) answerDue(req *Request) (due time.Duration, owed bool) {
	incarnation := c.history.incarnation(req.Proxy, req.Incarnation)
	if req.SentAt == 0 || req.CancelledAt != 0 || req.AnswerNotRequired || incarnation == nil {
		return 0, false
	}
	due = incarnation.afterRunningFor(req.SentAt, req.Timeout+answerSlack+machineSlack)
	due += c.history.observationSlack(req.SentAt, due) - machineSlack // it is in due already
	if incarnation.KilledAt == 0 || incarnation.KilledAt >= due {
		return due, true
	}
	killExpected := incarnation.SigtermAt != 0 && incarnation.SigtermAt < incarnation.KilledAt
	beforeKill := req.SentAt < incarnation.KilledAt-idleCloseRaceWindow-c.history.observationSlack(req.SentAt, incarnation.KilledAt)
	return due, killExpected && beforeKill
}
