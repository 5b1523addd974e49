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
func (c *historyChecker) checkFinalAnswers(q *Request) {
	who := fmt.Sprintf("request %s (%s, proxy %d)", q.ID, q.Class, q.Proxy)
	words := []string{q.ID, proxyName(q.Proxy)}
	if len(q.Answers) > 1 {
		c.report("second answer", q.Answers[1].At, words, "%s got %d answers", who, len(q.Answers))
	}
	due, owed := c.answerDue(q)
	if !owed {
		return
	}
	if len(q.Answers) > 0 {
		late := q.Answers[0].At - due
		if late > 0 {
			c.report("late answer", q.Answers[0].At, words, "%s was due %.3f before", who, late.Seconds())
		}
		return
	}
	if q.DisconnectedAt != 0 {
		c.report("lost", q.DisconnectedAt, words, "%s was sent at %.3f, and its connection ended without an answer", who, q.SentAt.Seconds())
		return
	}
	c.report("lost", due, words, "%s was sent at %.3f, and never answered", who, q.SentAt.Seconds())
}

// answerDue returns when the answer to a request is due at the latest. None is owed where the request was not
// sent in full or was cancelled, or where its process was killed before. The kill that follows a SIGTERM at the
// earliest is no excuse: the process knows when it comes.
func (c *historyChecker) answerDue(q *Request) (due time.Duration, owed bool) {
	incarnation := c.history.incarnation(q.Proxy, q.Incarnation)
	if q.SentAt == 0 || q.CancelledAt != 0 || q.AnswerNotRequired || incarnation == nil {
		return 0, false
	}
	due = incarnation.afterRunningFor(q.SentAt, q.Timeout+answerSlack+machineSlack)
	due += c.history.observationSlack(q.SentAt, due) - machineSlack // it is in due already
	if incarnation.KilledAt == 0 || incarnation.KilledAt >= due {
		return due, true
	}
	killExpected := incarnation.SigtermAt != 0 && incarnation.SigtermAt < incarnation.KilledAt
	beforeKill := q.SentAt < incarnation.KilledAt-idleCloseRaceWindow-c.history.observationSlack(q.SentAt, incarnation.KilledAt)
	return due, killExpected && beforeKill
}
