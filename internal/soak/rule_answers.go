package soak

import (
	"fmt"
	"time"
)

const (
	// answerSlack is the time after a request's timeout in which its answer may still come.
	answerSlack = 500 * time.Millisecond
)

// checkFinalAnswers checks that a request got exactly one final answer, in time.
func (c *historyChecker) checkFinalAnswers(req *Request) {
	subject := fmt.Sprintf("request %s (%s, proxy %d)", req.ID, req.Class, req.Proxy)
	keywords := []string{req.ID, proxyName(req.Proxy)}
	if len(req.Answers) > 1 {
		c.report("second answer", req.Answers[1].At, keywords, "%s got %d answers", subject, len(req.Answers))
	}
	due, required := c.answerDue(req)
	if !required {
		return
	}
	if len(req.Answers) > 0 {
		lateBy := req.Answers[0].At - due
		if lateBy > 0 {
			c.report("late answer", req.Answers[0].At, keywords,
				"%s was answered %.3f s too late", subject, lateBy.Seconds())
		}
		return
	}
	if req.DisconnectedAt != 0 {
		c.report("lost", req.DisconnectedAt, keywords, "%s was sent at %.3f s, and its connection ended without an answer",
			subject, req.SentAt.Seconds())
		return
	}
	c.report("lost", due, keywords, "%s was sent at %.3f s, and never answered", subject, req.SentAt.Seconds())
}

// answerDue returns the latest time for the answer to a request, and whether an answer is required. None is
// required if the request was not sent in full, was cancelled or may have raced with the close of an idle
// connection, or if the process was killed before the answer was due. If SIGTERM preceded the kill, an answer is
// required nevertheless: the kill comes no earlier than maxShutdown after the signal, so the process knows when it
// will be killed and has to answer before. The exception is a request that was sent so shortly before the kill that
// the process may not have read it.
func (c *historyChecker) answerDue(req *Request) (due time.Duration, required bool) {
	incarnation := c.history.incarnation(req.Proxy, req.Incarnation)
	if req.SentAt == 0 || req.CancelledAt != 0 || req.AnswerNotRequired || incarnation == nil {
		return 0, false
	}
	due = incarnation.afterRunningFor(req.SentAt, req.Timeout+req.ReadingTime+answerSlack+machineSlack)
	due += c.history.observationSlack(req.SentAt, due) - machineSlack // due includes machineSlack already
	if incarnation.KilledAt == 0 || incarnation.KilledAt >= due {
		return due, true
	}
	killExpected := incarnation.SigtermAt != 0 && incarnation.SigtermAt < incarnation.KilledAt
	sentBeforeKill := req.SentAt <
		incarnation.KilledAt-idleCloseRaceWindow-c.history.observationSlack(req.SentAt, incarnation.KilledAt)
	return due, killExpected && sentBeforeKill
}
