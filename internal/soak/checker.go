package soak

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// notifyWithin is how long after the coordinator has an event it counts as told, whether it came or not.
	notifyWithin = 7 * time.Second
	// socketSlack is what every time limit is longer by on sockets.
	socketSlack = 50 * time.Millisecond
	// machineSlack is what the stand-ins of this package may be late by on a busy machine.
	machineSlack = 150 * time.Millisecond
	// answerSlack is how long after a request's time its answer may still come.
	answerSlack = 500 * time.Millisecond
	// cancelGrace is how long after its client has left an attempt may begin.
	cancelGrace = 100 * time.Millisecond
	// deadlineSlack is what the deadline that is passed on may be later than the client's.
	deadlineSlack = 150 * time.Millisecond
	// readyWithin is how long a process may take to be ready.
	readyWithin = 10 * time.Second
	// killAfter is how long after SIGTERM and the longest deadline a process is killed.
	killAfter = 700 * time.Millisecond
	// acceptAfterSigterm is how long after SIGTERM requests are owed an answer in any case.
	acceptAfterSigterm = 700 * time.Millisecond
)

// Violation is a rule that was broken.
type Violation struct {
	Rule  string
	At    time.Duration
	Text  string
	Words []string // by which to find it in the timeline
}

// String is one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f: %s", v.Rule, v.At.Seconds(), v.Text)
}

// Check returns all violations of a history that has ended.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := &invariantChecker{h: h, requests: map[string]*Request{}, executions: map[string]int{}, serials: map[string]*Call{}}
	for _, q := range h.Requests {
		o.requests[q.ID] = q
	}
	for _, c := range h.Calls {
		o.serials[fmt.Sprint(c.Serial)] = c
		if c.Ran {
			o.executions[c.ID]++
		}
	}
	for _, q := range h.Requests {
		o.checkAnswers(q)
		o.checkExecutions(q)
		o.checkRepeats(q)
		o.checkPurges(q)
	}
	for _, c := range h.Calls {
		o.checkCall(c)
	}
	for _, s := range h.Starts {
		o.checkSlowStart(s)
	}
	for _, l := range h.Incarnations {
		o.checkIncarnation(l)
	}
	return o.found
}

type invariantChecker struct {
	h          *History
	requests   map[string]*Request
	executions map[string]int
	serials    map[string]*Call
	found      []Violation
}

func (o *invariantChecker) report(rule string, at time.Duration, words []string, format string, args ...any) {
	o.found = append(o.found, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...), Words: words})
}

// checkAnswers checks that a request got exactly one final answer, in time.
func (o *invariantChecker) checkAnswers(q *Request) {
	life := o.h.incarnation(q.Proxy, q.Incarnation)
	who := fmt.Sprintf("request %s (%s, proxy %d)", q.ID, q.Class, q.Proxy)
	words := []string{q.ID, proxyName(q.Proxy)}
	if len(q.Answers) > 1 {
		o.report("second answer", q.Answers[1].At, words, "%s got %d answers", who, len(q.Answers))
	}
	if q.SentAt == 0 || q.CanceledAt != 0 || q.NoAnswerOwed || life == nil {
		return
	}
	due := life.whileRunning(q.SentAt, q.Timeout+answerSlack+machineSlack)
	due += o.h.slack(q.SentAt, due) - machineSlack
	switch {
	case life.KilledAt != 0 && life.KilledAt < due, life.SigtermAt != 0 && q.SentAt > life.SigtermAt+acceptAfterSigterm:
	case len(q.Answers) > 0 && q.Answers[0].At > due:
		o.report("late answer", q.Answers[0].At, words, "%s was due %.3f before", who, (q.Answers[0].At - due).Seconds())
	case len(q.Answers) == 0 && q.DisconnectedAt != 0:
		o.report("lost", q.DisconnectedAt, words, "%s was sent at %.3f, and its connection ended without an answer", who, q.SentAt.Seconds())
	case len(q.Answers) == 0:
		o.report("lost", due, words, "%s was sent at %.3f, and never answered", who, q.SentAt.Seconds())
	}
}

// neverRan are the words that prove that a call did not run.
var neverRan = map[string]bool{"overload": true, "not_here": true, "nobody": true}

// notifiedAt is when an event counts as notifiedAt to a process. What the coordinator does not tell it, or it can't hear as it is stopped,
// nobody can know: that does not count.
func (o *invariantChecker) notifiedAt(e *WatchEvent, q *Request) time.Duration {
	unheard, life := o.h.Withheld[q.Proxy], o.h.incarnation(q.Proxy, q.Incarnation)
	if life != nil {
		unheard = slices.Concat(unheard, life.Paused)
	}
	at := afterExcluding(unheard, e.PublishedAt, notifyWithin)
	if written, ok := e.DeliveredAt[q.Proxy]; ok {
		at = min(at, written)
	}
	if life != nil && e.Index <= life.KnownEvents {
		at = min(at, life.StartedAt)
	}
	return at
}

// slowStartAllowance is how many calls a cold server bears where the settings allow it n.
func slowStartAllowance(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// proxyName is a proxy's name in the timeline.
func proxyName(number int) string { return fmt.Sprintf("proxy-%d", number) }
