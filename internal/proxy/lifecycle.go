package proxy

// This file holds the phases of the process and the times of a drain and of a graceful shutdown.

import (
	"cmp"
	"log/slog"
	"time"

	"cloverdoor/internal/eventloop"
)

// The times of a graceful shutdown and of an operator's drain. The platform may kill the process killGrace
// after the longest deadline of the settings, counted from the signal.
const (
	// shutdownAcceptTime is how long after the signal clients may still connect (0.4 s) and send on open
	// connections (0.2 s more), with a margin.
	shutdownAcceptTime = 700 * time.Millisecond
	// killGrace is what the platform adds to the longest deadline before it kills the process.
	killGrace = 700 * time.Millisecond
	// KillMargin is how much earlier everything has been answered. The rest of the exit has to fit in it.
	KillMargin = 200 * time.Millisecond
	// maxShutdownDeadline bounds the longest deadline that the platform waits for; also the default where the
	// settings name none.
	maxShutdownDeadline = 3 * time.Second
	// shutdownRejectTime is how long before the end of a shutdown new requests begin to be rejected.
	shutdownRejectTime = 500 * time.Millisecond
	// drainAcceptTime is how long after an operator's drain order clients are served as before: the load
	// balancer in front checks health every 0.1 s and sends for 0.2 s more.
	drainAcceptTime = 300 * time.Millisecond
	// drainRejectAfter is how long after the drain order new requests begin to be rejected, so that
	// connections that are never idle become idle and can be closed.
	drainRejectAfter = 1900 * time.Millisecond
)

// Phase is a state of the program between its start and its exit.
type Phase int

// The phases, in order. Only Draining may go back, to Serving.
const (
	Starting Phase = iota // no endpoint list yet: nothing can be served
	Serving
	Draining // by an operator's order: clients are disconnected until the order is revoked
	Stopping // by a signal: as Draining, and then the exit
	Stopped
)

var phaseNames = [...]string{
	Starting: "starting",
	Serving:  "serving",
	Draining: "draining",
	Stopping: "stopping",
	Stopped:  "stopped",
}

// String is the phase's name in the log and in readiness answers.
func (p Phase) String() string { return phaseNames[p] }

// lifecycle holds the phase and the times at which a drain or a shutdown goes on to its next step.
type lifecycle struct {
	loop  *eventloop.Loop
	log   *slog.Logger
	phase Phase

	// Valid while Draining or Stopping:
	disconnectFrom eventloop.Timestamp // idle client connections are closed from then on
	rejectFrom     eventloop.Timestamp // new requests are rejected from then on
	answerBy       eventloop.Timestamp // while Stopping: every request has its answer by then
}

// setPhase changes the phase. openRequests is for the log.
func (l *lifecycle) setPhase(next Phase, openRequests int) {
	l.log.Info("phase changed", "from", l.phase, "to", next, "open_requests", openRequests)
	l.phase = next
}

// beginDrain sets the times of an operator's drain.
func (l *lifecycle) beginDrain(openRequests int) {
	l.setPhase(Draining, openRequests)
	l.disconnectFrom = l.loop.Now() + drainAcceptTime
	l.rejectFrom = l.loop.Now() + drainRejectAfter
}

// beginShutdown sets the times of a graceful shutdown. longestDeadline is that of the settings, 0: none. Where
// another process accepts clients on the same socket (takeover), idle connections are closed at once.
func (l *lifecycle) beginShutdown(longestDeadline time.Duration, takeover bool, openRequests int) {
	l.setPhase(Stopping, openRequests)
	l.disconnectFrom = l.loop.Now() + shutdownAcceptTime
	if takeover {
		l.disconnectFrom = l.loop.Now()
	}
	killDelay := min(maxShutdownDeadline, cmp.Or(longestDeadline, maxShutdownDeadline)) + killGrace
	l.answerBy = l.loop.Now() + killDelay - KillMargin
	l.rejectFrom = l.answerBy - shutdownRejectTime
}

// disconnecting reports whether idle client connections are to be closed now.
func (l *lifecycle) disconnecting() bool {
	return (l.phase == Draining || l.phase == Stopping) && l.loop.Now() >= l.disconnectFrom
}

// rejecting reports whether new requests are to be rejected. Without it, clients that always have a request
// open would never be disconnected.
func (l *lifecycle) rejecting() bool { return l.disconnecting() && l.loop.Now() >= l.rejectFrom }
