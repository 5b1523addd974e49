package soak

import (
	"fmt"
	"math"
	"slices"
	"strings"
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

// checkExecutions checks what must not run twice, and what an answer says of that.
func (o *invariantChecker) checkExecutions(q *Request) {
	if q.Class != classWrite {
		return
	}
	runs, words := o.executions[q.ID], []string{q.ID}
	if runs > 1 {
		o.report("ran twice", q.SentAt, words, "request %s ran %d times", q.ID, runs)
	}
	for _, a := range q.Answers {
		if a.Status == "200" && runs == 0 {
			o.report("served unrun", a.At, words, "request %s was answered as served and never ran", q.ID)
		}
		if a.Rejected() && runs > 0 {
			o.report("refused after run", a.At, words, "request %s was refused and ran", q.ID)
		}
	}
}

// checkRepeats checks that a keyed request is repeated only while its key is known: from the first call that may have run.
func (o *invariantChecker) checkRepeats(q *Request) {
	if q.Class != classKeyed {
		return
	}
	var first *Call
	for _, c := range o.h.Calls {
		if c.ID == q.ID && !c.ReadLate && !neverRan[c.Result] && (first == nil || c.FirstByteAt < first.FirstByteAt) {
			first = c
		}
	}
	for _, c := range o.h.Calls {
		if first != nil && c.ID == q.ID && !c.ReadLate && c.FirstByteAt > first.FirstByteAt+o.h.Limits.DeduplicationWindow+socketSlack+o.h.slack(first.FirstByteAt, c.FirstByteAt) {
			o.report("repeat after window", c.FirstByteAt, []string{q.ID, proxyName(q.Proxy)}, "request %s was repeated %.3f after a call that may have run",
				q.ID, (c.FirstByteAt - first.FirstByteAt).Seconds())
		}
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

// checkPurges checks that nothing was served from a copy that a purge had made void before the call was sent.
func (o *invariantChecker) checkPurges(q *Request) {
	for _, a := range q.Answers {
		serial, _, _ := strings.Cut(a.Body, " ")
		c := o.serials[serial]
		if a.Status != "200" || c == nil || c.ReadLate || c.CopyMadeAt.IsZero() || c.ID != q.ID {
			continue
		}
		for _, e := range o.h.Events {
			if e.PurgedBefore.IsZero() || e.PurgedObject != q.Object && e.PurgedGroup != q.Group || !c.CopyMadeAt.Before(e.PurgedBefore) {
				continue
			}
			if told := o.notifiedAt(e, q); c.FirstByteAt > told+o.h.Limits.PurgeGrace+socketSlack+o.h.slack(told, c.FirstByteAt) {
				words := []string{q.ID, c.Server, q.Object, proxyName(q.Proxy)}
				o.report("purged copy", c.FirstByteAt, words, "request %s was sent %.3f after it was told of a purge, and served from a copy %v older",
					q.ID, (c.FirstByteAt - told).Seconds(), e.PurgedBefore.Sub(c.CopyMadeAt))
			}
		}
	}
}

// checkCall checks one checkCall by the rules on sending.
func (o *invariantChecker) checkCall(c *Call) {
	q := o.requests[c.ID]
	if q == nil {
		o.report("unknown call", c.FirstByteAt, []string{c.ID}, "%s got a call that no client sent", c.Server)
		return
	}
	if c.ReadLate { // it is not known when it was sent
		return
	}
	words := []string{c.ID, c.Server, proxyName(q.Proxy)}
	if q.CanceledAt != 0 && c.FirstByteAt > q.CanceledAt+cancelGrace+o.h.slack(q.CanceledAt, c.FirstByteAt) {
		o.report("begun after left", c.FirstByteAt, words, "request %s began at %s %.3f after its client had left",
			c.ID, c.Server, (c.FirstByteAt - q.CanceledAt).Seconds())
	}
	if left := q.SentAt + q.Timeout - c.CompleteAt; q.SentAt != 0 && c.Timeout > left+deadlineSlack+o.h.slack(q.SentAt, c.CompleteAt) {
		o.report("deadline", c.CompleteAt, words, "request %s passes on %v when its client has %v left", c.ID, c.Timeout, left)
	}
	for _, server := range []string{c.Server, c.Source} {
		if since, leaving := o.withdrawnSince(server, q, c.FirstByteAt); leaving && c.FirstByteAt > since+o.h.Limits.DrainGrace+socketSlack+o.h.slack(since, c.FirstByteAt) {
			o.report("drain", c.FirstByteAt, words, "request %s went to or named %s %.3f after its proxy was told that it leaves",
				c.ID, server, (c.FirstByteAt - since).Seconds())
		}
	}
}

// withdrawnSince tells since when a server counts as draining or gone at a time, to the process of a request.
func (o *invariantChecker) withdrawnSince(server string, q *Request, at time.Duration) (since time.Duration, leaving bool) {
	for _, e := range o.h.Events {
		switch {
		case server == "" || e.PublishedAt > at:
		case slices.Contains(e.Serving, server):
			leaving = false
		case slices.Contains(e.Withdrawn, server) && !leaving:
			since, leaving = o.notifiedAt(e, q), true
		}
	}
	return since, leaving
}

// checkSlowStart checks what a server that has started was sent in each window.
func (o *invariantChecker) checkSlowStart(s ServerStart) {
	l := o.h.Limits
	var sent []*Call
	for _, c := range o.h.Calls {
		if c.Server == s.Server && c.FirstByteAt >= s.At && c.FirstByteAt < s.At+l.SlowStartDuration && !c.ReadLate {
			sent = append(sent, c)
		}
	}
	slices.SortFunc(sent, func(a, b *Call) int { return int(a.FirstByteAt - b.FirstByteAt) })
	for i, last := range sent {
		warm := l.SlowStartCapacity + (1-l.SlowStartCapacity)*float64(last.FirstByteAt-s.At)/float64(l.SlowStartDuration)
		allowed := slowStartAllowance(l.OverloadMultiple * l.LinkTransfers * warm * l.OverloadWindow.Seconds() / l.TransferTime.Seconds())
		count, told := 0, 0
		for _, c := range sent[:i+1] {
			if c.FirstByteAt > last.FirstByteAt-l.OverloadWindow {
				count++
				if o.knewOfStart(s, c) {
					told++
				}
			}
		}
		if float64(count) > allowed && float64(told) >= 2*float64(count)/3 {
			o.report("cold start", last.FirstByteAt, []string{s.Server}, "%s got %d calls within %v, %.1f allowed, %d from proxies that knew of its start",
				s.Server, count, l.OverloadWindow, allowed, told)
			return
		}
	}
}

// slowStartAllowance is how many calls a cold server bears where the settings allow it n.
func slowStartAllowance(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

func (o *invariantChecker) knewOfStart(s ServerStart, c *Call) bool {
	q := o.requests[c.ID]
	for _, e := range o.h.Events {
		if q != nil && e.Index == s.EventIndex {
			return c.FirstByteAt > o.notifiedAt(e, q)
		}
	}
	return false
}

// checkIncarnation checks one checkIncarnation by the rules on starts, ends and limits.
func (o *invariantChecker) checkIncarnation(l *Incarnation) {
	who := fmt.Sprintf("proxy %d, life %d", l.Proxy, l.Number)
	words := []string{proxyName(l.Proxy)}
	due := l.whileRunning(l.StartedAt, readyWithin)
	ended := func(at time.Duration) bool { return at != 0 && at < due }
	if (l.ReadyAt == 0 || l.ReadyAt > due) && !ended(l.KilledAt) && !ended(l.SigtermAt) && !ended(l.ExitedAt) {
		o.report("not ready", l.StartedAt, words, "%s was not ready in time", who)
	}
	if l.ExitedAt != 0 && (l.SigtermAt == 0 || l.ExitedAt < l.SigtermAt) && l.KilledAt == 0 {
		o.report("crash", l.ExitedAt, words, "%s ended by itself: %s", who, l.ExitError)
	}
	if l.SigtermAt != 0 && l.KilledAt == 0 && l.ExitedAt > l.SigtermAt && l.ExitError != "" {
		o.report("bad end", l.SigtermAt, words, "%s ended with %q after SIGTERM", who, l.ExitError)
	}
	if l.SigtermAt != 0 && l.KilledAt > l.SigtermAt {
		o.report("late end", l.KilledAt, words, "%s had to be killed %.3f after SIGTERM", who, (l.KilledAt - l.SigtermAt).Seconds())
	}
	if l.PeakMemoryKB > o.h.Limits.MemoryKB {
		o.report("memory", l.ExitedAt, words, "%s held %d KB", who, l.PeakMemoryKB)
	}
	if l.PeakDescriptors > o.h.Limits.Descriptors {
		o.report("descriptors", l.ExitedAt, words, "%s held %d descriptors", who, l.PeakDescriptors)
	}
}

// proxyName is a proxy's name in the timeline.
func proxyName(number int) string { return fmt.Sprintf("proxy-%d", number) }
