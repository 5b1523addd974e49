package proxy

// This file holds the phases of the process and the timing of a drain and of a graceful shutdown.

import (
	"cmp"
	"log/slog"
	"time"

	"cloverdoor/internal/eventloop"
)

// Timing of a graceful shutdown and of an operator's drain. The platform may kill the process once the longest
// deadline of the settings plus killGrace have passed since the signal.
const (
	// shutdownAcceptTime is the time after the signal during which clients are served as before. They may still
	// connect for 0.4 s and send on open connections for 0.2 s more; the rest is a margin.
	shutdownAcceptTime = 700 * time.Millisecond
	// killGrace is the time that the platform waits after the longest deadline before it kills the process.
	killGrace = 700 * time.Millisecond
	// ExitMargin is the time before the kill by which all requests are answered. The rest of the exit must fit into
	// it.
	ExitMargin = 200 * time.Millisecond
	// maxShutdownDeadline is the longest deadline that the platform waits for. It is also the default if the
	// settings have no deadline.
	maxShutdownDeadline = 3 * time.Second
	// shutdownRejectTime is the time before lifecycle.answerBy at which the proxy starts to reject new requests.
	shutdownRejectTime = 500 * time.Millisecond
	// drainAcceptTime is the time after the start of an operator's drain during which clients are served as before.
	// The load balancer in front checks health every 0.1 s and, after a failed check, goes on sending requests for
	// 0.2 s.
	drainAcceptTime = 300 * time.Millisecond
	// drainRejectAfter is the time from the start of a drain after which new requests are rejected. Connections
	// that would otherwise never be idle then become idle and can be closed.
	drainRejectAfter = 1900 * time.Millisecond
)

// Phase is a state of the process between its start and its exit.
type Phase int

// The phases, in order. Only Draining may go back, to Serving.
const (
	Starting Phase = iota // no endpoint list yet: nothing can be served
	Serving
	Draining // requested by an operator: clients are disconnected until the drain is stopped
	Stopping // requested by a signal: clients are disconnected, then the process exits
	Stopped
)

var phaseNames = [...]string{
	Starting: "starting",
	Serving:  "serving",
	Draining: "draining",
	Stopping: "stopping",
	Stopped:  "stopped",
}

// String returns the phase's name in the log and in the answers to admin calls.
func (p Phase) String() string { return phaseNames[p] }

// lifecycle holds the phase and the times of the next steps of a drain or a shutdown.
type lifecycle struct {
	loop  *eventloop.Loop
	log   *slog.Logger
	phase Phase

	// Valid while Draining or Stopping:
	disconnectFrom eventloop.Timestamp // when idle client connections begin to be closed
	rejectFrom     eventloop.Timestamp // when new requests begin to be rejected
	answerBy       eventloop.Timestamp // while Stopping: when every request must have been answered
}

// setPhase changes the phase. openRequests is only logged.
func (l *lifecycle) setPhase(nextPhase Phase, openRequests int) {
	l.log.Info("phase changed", "from", l.phase, "to", nextPhase, "open_requests", openRequests)
	l.phase = nextPhase
}

// beginDrain starts an operator's drain.
func (l *lifecycle) beginDrain(openRequests int) {
	l.setPhase(Draining, openRequests)
	l.disconnectFrom = l.loop.Now() + drainAcceptTime
	l.rejectFrom = l.loop.Now() + drainRejectAfter
}

// beginShutdown starts a graceful shutdown. longestDeadline is the longest deadline of the settings; 0: none. If
// takeover is set, another process accepts clients on the same sockets, and idle connections are closed at once.
func (l *lifecycle) beginShutdown(longestDeadline time.Duration, takeover bool, openRequests int) {
	l.setPhase(Stopping, openRequests)
	l.disconnectFrom = l.loop.Now() + shutdownAcceptTime
	if takeover {
		l.disconnectFrom = l.loop.Now()
	}
	killDelay := min(maxShutdownDeadline, cmp.Or(longestDeadline, maxShutdownDeadline)) + killGrace
	l.answerBy = l.loop.Now() + killDelay - ExitMargin
	l.rejectFrom = l.answerBy - shutdownRejectTime
}

// disconnecting reports whether idle client connections must be closed now.
func (l *lifecycle) disconnecting() bool {
	return (l.phase == Draining || l.phase == Stopping) && l.loop.Now() >= l.disconnectFrom
}

// exiting reports whether a shutdown has come so far that new requests are rejected.
func (l *lifecycle) exiting() bool { return l.phase == Stopping && l.rejecting() }

// rejecting reports whether new requests must be rejected now. Without rejections, clients that always have an open
// request would never be disconnected.
func (l *lifecycle) rejecting() bool { return l.disconnecting() && l.loop.Now() >= l.rejectFrom }
