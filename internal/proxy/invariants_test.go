package proxy

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// A draining endpoint is forgotten after a while, as endpoints are replaced under new ids for as long as a process
// runs. One that has just begun to drain is known.
func TestInvariantCheckerForgetsOldDrains(t *testing.T) {
	clock := &manualClock{now: eventloop.Timestamp(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).UnixNano())}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{loop: loop, log: slog.New(slog.DiscardHandler)}
	checker := newInvariantChecker(p, nil)
	const replaced, every = 2000, time.Second
	for i := range replaced {
		clock.now += every
		if err := loop.Wait(0); err != nil {
			t.Fatal(err)
		}
		removed := watch.Endpoint{ID: fmt.Sprint(i), State: watch.StateDeleted}
		checker.observeEvent(watch.Event{Endpoints: &watch.EndpointUpdate{Endpoints: []watch.Endpoint{removed}}})
	}
	if _, known := checker.drainingSince[fmt.Sprint(replaced-1)]; !known || len(checker.drainingSince) > replaced/2 {
		t.Errorf("%d endpoints are remembered, the last one %v", len(checker.drainingSince), known)
	}
}

// disconnectedResponder is the responder of a client that has disconnected long ago.
type disconnectedResponder struct{ discardResponder }

func (disconnectedResponder) ClientDisconnected() Disconnect {
	return Disconnect{Since: 1, GraceOver: true}
}

// checkerFixture is a checker that has been notified of a drain and a purge, and one attempt.
type checkerFixture struct {
	*invariantChecker
	attempt *attempt
	wait    func(time.Duration) // lets time pass
}

// Each violation is counted once, under its own name, and none is counted where the proxy keeps its promises.
func TestInvariantCheckerFindsEachViolation(t *testing.T) {
	const drained, served, purgedGroup = "c1", "c2", 7
	for _, c := range []struct {
		want    violation // violationCount: none
		request request
		do      func(s checkerFixture)
	}{
		{violationCount, request{}, func(s checkerFixture) {
			s.attempt.target, s.attempt.source = drained, drained
			s.checkSent(s.attempt) // within the grace period
			s.attempt.target, s.attempt.source = served, served
			s.wait(time.Second)
			s.checkSent(s.attempt)
			s.checkWritten(s.attempt)
			s.attempt.written = true
			s.observeEnd(s.attempt, policy.ResultRejected) // not executed: another call may follow
			s.checkWritten(s.attempt)
			s.checkServed(s.attempt, resp.Answer{CreatedAtMillis: 2000})
			s.checkFinalAnswer(s.attempt.req, Served)
			s.checkConnectionClosed(s.attempt.req, false)
		}},
		{secondAnswer, request{}, func(s checkerFixture) {
			s.checkFinalAnswer(s.attempt.req, Served)
			s.checkFinalAnswer(s.attempt.req, Failed)
		}},
		{unanswered, request{}, func(s checkerFixture) {
			s.checkConnectionClosed(s.attempt.req, true) // the client gave it up
			s.checkConnectionClosed(s.attempt.req, false)
		}},
		{executedTwice, request{}, func(s checkerFixture) {
			s.checkWritten(s.attempt)
			s.attempt.written = true
			s.observeEnd(s.attempt, policy.ResultReset) // it may have been executed
			s.checkWritten(s.attempt)
		}},
		{rejectedAfterExecution, request{}, func(s checkerFixture) {
			s.checkWritten(s.attempt)
			s.checkFinalAnswer(s.attempt.req, Rejected)
		}},
		{sentToDraining, request{}, func(s checkerFixture) {
			s.attempt.target, s.attempt.source = served, drained
			s.wait(time.Second)
			s.checkSent(s.attempt)
		}},
		{servedPurged, request{Request: Request{Group: purgedGroup}}, func(s checkerFixture) {
			s.wait(time.Second)
			s.checkSent(s.attempt)
			s.checkServed(s.attempt, resp.Answer{CreatedAtMillis: 999})
		}},
		{startedAfterDisconnect, request{responder: disconnectedResponder{}}, func(s checkerFixture) {
			s.checkSent(s.attempt)
		}},
	} {
		clock := &manualClock{now: eventloop.Timestamp(time.Hour)}
		loop, err := eventloop.NewLoop(clock)
		if err != nil {
			t.Fatal(err)
		}
		p := &Proxy{loop: loop, log: slog.New(slog.DiscardHandler)}
		p.config.Policy.PurgeCompletedWithin = time.Minute
		var reports []string
		checker := newInvariantChecker(p, func(text string) { reports = append(reports, text) })
		group := purgedGroup
		checker.observeEvent(watch.Event{
			Purge: &watch.Purge{Group: &group, At: 1000},
			Endpoints: &watch.EndpointUpdate{Endpoints: []watch.Endpoint{
				{ID: drained, State: watch.StateDraining}, {ID: served, State: watch.StateServing},
			}},
		})
		q := c.request
		if q.responder == nil {
			q.responder = discardResponder{}
		}
		q.idempotency = policy.NonIdempotent
		wait := func(d time.Duration) { clock.now += d }
		c.do(checkerFixture{invariantChecker: checker, attempt: &attempt{p: p, req: &q}, wait: wait})
		var want [violationCount]int64
		if c.want < violationCount {
			want[c.want] = 1
		}
		if checker.counts != want || (len(reports) == 0) != (c.want == violationCount) {
			t.Errorf("%v: counted %v, reported %q", c.want, checker.counts, reports)
		}
	}
}
