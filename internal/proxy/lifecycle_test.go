package proxy

import (
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
)

// newTestLifecycle returns a lifecycle that serves, and its clock.
func newTestLifecycle(t *testing.T) (*lifecycle, *manualClock) {
	t.Helper()
	clock := &manualClock{now: eventloop.Timestamp(time.Hour)}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	return &lifecycle{loop: loop, log: slog.New(slog.DiscardHandler), phase: Serving}, clock
}

// Guards against a shutdown that leaves no time for the exit before the kill, or none for the requests that still come.
func TestCloseTimeFitsBeforeTheKill(t *testing.T) {
	for _, deadline := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond,
		800 * time.Millisecond, 3 * time.Second, time.Minute} {
		for _, takeover := range []bool{false, true} {
			l, clock := newTestLifecycle(t)
			l.beginShutdown(deadline, takeover, 0)
			kill := min(deadline, maxShutdownDeadline) + killGrace
			if deadline == 0 {
				kill = maxShutdownDeadline + killGrace
			}
			closeTime, limited := l.closeTime(clock.now)
			serving := closeTime - clock.now
			if !limited || serving < minShutdownServeTime || kill-serving < ExitMargin/3 {
				t.Errorf("deadline %v: connections are closed after %v (limited: %v), and killed after %v", deadline, serving, limited, kill)
			}
			if l.disconnectFrom > closeTime || l.rejectFrom > closeTime {
				t.Errorf("deadline %v: clients are disconnected and requests rejected only after the close", deadline)
			}
		}
	}
}

// Guards against a SIGTERM that puts off the end of a drain that is under way.
func TestShutdownDoesNotDelayADrain(t *testing.T) {
	l, clock := newTestLifecycle(t)
	l.beginDrain(0)
	drainCloseTime, _ := l.closeTime(clock.now)
	clock.now += 2 * time.Second
	if err := l.loop.Wait(0); err != nil {
		t.Fatal(err)
	}
	l.beginShutdown(0, false, 0)
	if closeTime, _ := l.closeTime(0); closeTime != drainCloseTime || !l.rejecting() {
		t.Errorf("connections are closed %v after the end of the drain, rejecting: %v", closeTime-drainCloseTime, l.rejecting())
	}
}

// A connection that is accepted at the end of a drain has time for its first request, but not before an exit.
func TestCloseTimeOfANewConnection(t *testing.T) {
	l, clock := newTestLifecycle(t)
	l.beginDrain(0)
	acceptedAt := clock.now + drainCloseAfter
	if closeTime, _ := l.closeTime(acceptedAt); closeTime != acceptedAt+newConnTime {
		t.Errorf("closed %v after it was accepted, want %v", closeTime-acceptedAt, newConnTime)
	}
	l.beginShutdown(0, false, 0)
	if closeTime, _ := l.closeTime(acceptedAt); closeTime != acceptedAt+newConnTime {
		t.Errorf("at a shutdown after the drain: closed %v after it was accepted, want %v", closeTime-acceptedAt, newConnTime)
	}
	exitTime := clock.now + maxShutdownDeadline + killGrace - ExitMargin
	if closeTime, _ := l.closeTime(exitTime); closeTime != exitTime {
		t.Errorf("accepted at the end of a shutdown: closed %v later", closeTime-exitTime)
	}
	l.setPhase(Serving, 0)
	if _, limited := l.closeTime(acceptedAt); limited {
		t.Error("the time of a connection is limited while the process serves")
	}
}
