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

// Guards against a map of draining endpoints that grows for as long as a process runs, as endpoints are replaced under
// new ids: old entries are removed. An endpoint that has just begun to drain stays in the map.
func TestInvariantCheckerForgetsOldDrains(t *testing.T) {
	clock := &manualClock{now: eventloop.Timestamp(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).UnixNano())}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{loop: loop, log: slog.New(slog.DiscardHandler)}
	checker := newInvariantChecker(p, nil)
	const replaced, interval = 2000, time.Second
	for i := range replaced {
		clock.now += interval
		if err := loop.Wait(0); err != nil {
			t.Fatal(err)
		}
		removed := watch.Endpoint{ID: fmt.Sprint(i), State: watch.StateDeleted}
		checker.observeEvent(watch.Event{Endpoints: &watch.EndpointUpdate{Endpoints: []watch.Endpoint{removed}}})
	}
	if _, known := checker.drainingSince[fmt.Sprint(replaced-1)]; !known || len(checker.drainingSince) > replaced/2 {
		t.Errorf("%d endpoints are remembered; the last one is among them: %v", len(checker.drainingSince), known)
	}
}

// disconnectedResponder is the responder for a client that disconnected long ago.
type disconnectedResponder struct{ discardResponder }

func (disconnectedResponder) ClientDisconnected() DisconnectState {
	return DisconnectState{Since: 1, GraceOver: true}
}

// checkerFixture is a checker to which a drain and a purge have been reported, with one attempt.
type checkerFixture struct {
	*invariantChecker
	attempt *attempt
	wait    func(time.Duration) // advances the clock by a duration
}

// Each violation is counted once, under its own name, and none is counted if the proxy keeps its guarantees.
func TestInvariantCheckerFindsEachViolation(t *testing.T) {
	const drained, served, purgedGroup = "c1", "c2", 7
	for _, c := range []struct {
		want    violation // violationCount: none
		request request
		run     func(f checkerFixture)
	}{
		{violationCount, request{}, func(f checkerFixture) {
			f.attempt.target, f.attempt.source = drained, drained
			f.checkSent(f.attempt) // within the grace period
			f.attempt.target, f.attempt.source = served, served
			f.wait(time.Second)
			f.checkSent(f.attempt)
			f.checkWritten(f.attempt)
			f.attempt.written = true
			f.observeEnd(f.attempt, policy.ResultRejected) // not executed: another call may be sent
			f.checkWritten(f.attempt)
			f.checkServed(f.attempt, resp.Answer{CreatedAtMillis: 2000})
			f.checkFinalAnswer(f.attempt.req, Served)
			f.checkConnectionClosed(f.attempt.req, false)
		}},
		{secondAnswer, request{}, func(f checkerFixture) {
			f.checkFinalAnswer(f.attempt.req, Served)
			f.checkFinalAnswer(f.attempt.req, Failed)
		}},
		{unanswered, request{}, func(f checkerFixture) {
			f.checkConnectionClosed(f.attempt.req, true)
			f.checkConnectionClosed(f.attempt.req, false) // closed by the client: no violation
		}},
		{executedTwice, request{}, func(f checkerFixture) {
			f.checkWritten(f.attempt)
			f.attempt.written = true
			f.observeEnd(f.attempt, policy.ResultReset) // it may have been executed
			f.checkWritten(f.attempt)
		}},
		{rejectedAfterExecution, request{}, func(f checkerFixture) {
			f.checkWritten(f.attempt)
			f.checkFinalAnswer(f.attempt.req, Rejected)
		}},
		{sentToDraining, request{}, func(f checkerFixture) {
			f.attempt.target, f.attempt.source = served, drained
			f.wait(time.Second)
			f.checkSent(f.attempt)
		}},
		{servedPurged, request{Request: Request{Group: purgedGroup}}, func(f checkerFixture) {
			f.wait(time.Second)
			f.checkSent(f.attempt)
			f.checkServed(f.attempt, resp.Answer{CreatedAtMillis: 999})
		}},
		{startedAfterDisconnect, request{responder: disconnectedResponder{}}, func(f checkerFixture) {
			f.checkSent(f.attempt)
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
			Purge: &watch.Purge{Group: &group, AtMillis: 1000},
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
		c.run(checkerFixture{invariantChecker: checker, attempt: &attempt{p: p, req: &q}, wait: wait})
		var want [violationCount]int64
		if c.want < violationCount {
			want[c.want] = 1
		}
		if checker.counts != want || (len(reports) == 0) != (c.want == violationCount) {
			t.Errorf("%v: counted %v, reported %q", c.want, checker.counts, reports)
		}
	}
}
