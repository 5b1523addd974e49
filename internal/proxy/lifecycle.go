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
	ExitMargin = 300 * time.Millisecond
	// minShutdownServeTime is the time after the signal for which requests are read and answered, however early the kill:
	// clients connect for up to 0.4 s after the signal, and send on open connections for 0.2 s more.
	minShutdownServeTime = 600 * time.Millisecond
	// shutdownCloseTime is the least time before lifecycle.closeBy at which client connections begin to be closed.
	shutdownCloseTime = 100 * time.Millisecond
	// maxShutdownDeadline is the longest deadline that the platform waits for. It is also the default if the
	// settings have no deadline.
	maxShutdownDeadline = 3 * time.Second
	// shutdownRejectTime is the time before lifecycle.closeBy at which the proxy starts to reject new requests.
	shutdownRejectTime = 500 * time.Millisecond
	// drainAcceptTime is the time after the start of an operator's drain during which clients are served as before.
	// The load balancer in front checks health every 0.1 s and, after a failed check, goes on sending requests for
	// 0.2 s.
	drainAcceptTime = 300 * time.Millisecond
	// drainRejectAfter is the time from the start of a drain after which new requests are rejected. Connections
	// that would otherwise never be idle then become idle and can be closed.
	drainRejectAfter = 1900 * time.Millisecond
	// drainCloseAfter is the time from the start of a drain after which connections are closed, but for those of clients
	// that have yet to read answers.
	drainCloseAfter = 3 * time.Second
	// drainReadingTime is the time after drainCloseAfter that those clients have. 4 s after the start of a drain no
	// connection may be held idle, or with a request from the last 2 s.
	drainReadingTime = 900 * time.Millisecond
	// shutdownReadingMargin is the time before the kill until which clients may read their answers.
	shutdownReadingMargin = 150 * time.Millisecond
	// shutdownExitMargin is the time before the kill at which the process exits, whatever its clients have yet to read. It
	// exceeds maxPollTime, by which the exit may be late.
	shutdownExitMargin = 2 * maxPollTime
)

// newConnTime is the time that a client that has just connected has for its first request while clients are to be
// disconnected.
const newConnTime = evictPartialAfter

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
	closeBy        eventloop.Timestamp // when the open requests are answered and all client connections closed
	newConnCloseBy eventloop.Timestamp // while Stopping: the same for connections that are accepted when closeBy is near
	readBy         eventloop.Timestamp // when the connections of clients that have yet to read answers are closed too
	exitBy         eventloop.Timestamp // while Stopping: when the process exits in any case
}

// setPhase changes the phase. openRequests is only logged.
func (l *lifecycle) setPhase(nextPhase Phase, openRequests int) {
	l.log.Info("phase changed", "from", l.phase, "to", nextPhase, "open_requests", openRequests)
	l.phase = nextPhase
}

// beginDrain starts an operator's drain.
func (l *lifecycle) beginDrain(openRequests int) {
	l.setPhase(Draining, openRequests)
	now := l.loop.Now()
	l.setTimes(now+drainAcceptTime, now+drainRejectAfter, now+drainCloseAfter)
	l.setReadBy(l.closeBy + drainReadingTime)
}

// beginShutdown starts a graceful shutdown. longestDeadline is the longest deadline of the settings; 0: none. If
// takeover is set, another process accepts clients on the same sockets, and idle connections are closed at once. A drain
// that is under way goes on: none of its times is put off.
func (l *lifecycle) beginShutdown(longestDeadline time.Duration, takeover bool, openRequests int) {
	wasDraining := l.phase == Draining
	l.setPhase(Stopping, openRequests)
	now := l.loop.Now()
	killDelay := min(maxShutdownDeadline, cmp.Or(longestDeadline, maxShutdownDeadline)) + killGrace
	closeBy := now + max(minShutdownServeTime, killDelay-ExitMargin)
	disconnectFrom := min(now+shutdownAcceptTime, closeBy-shutdownCloseTime)
	if takeover {
		disconnectFrom = now
	}
	rejectFrom := closeBy - shutdownRejectTime
	l.newConnCloseBy = closeBy
	readBy := now + killDelay - shutdownReadingMargin
	l.exitBy = now + killDelay - shutdownExitMargin
	if wasDraining {
		disconnectFrom = min(disconnectFrom, l.disconnectFrom)
		rejectFrom = min(rejectFrom, l.rejectFrom)
		closeBy = min(closeBy, l.closeBy)
		readBy = min(readBy, l.readBy)
	}
	l.setTimes(disconnectFrom, rejectFrom, closeBy)
	l.setReadBy(readBy)
}

// setTimes sets the times of the next steps, and has the event loop wake up for the last one.
func (l *lifecycle) setTimes(disconnectFrom, rejectFrom, closeBy eventloop.Timestamp) {
	l.disconnectFrom = disconnectFrom
	l.rejectFrom = rejectFrom
	l.closeBy = closeBy
	l.loop.At(closeBy, func() {})
}

// setReadBy sets readBy, not before closeBy, and has the event loop wake up for it.
func (l *lifecycle) setReadBy(readBy eventloop.Timestamp) {
	l.readBy = max(readBy, l.closeBy)
	l.loop.At(l.readBy, func() {})
}

// mustExit reports whether the process has to exit, whatever its clients have yet to read.
func (l *lifecycle) mustExit() bool { return l.phase == Stopping && l.loop.Now() >= l.exitBy }

// disconnecting reports whether idle client connections must be closed now.
func (l *lifecycle) disconnecting() bool {
	return (l.phase == Draining || l.phase == Stopping) && l.loop.Now() >= l.disconnectFrom
}

// rejecting reports whether new requests must be rejected now. Without rejections, clients that always have an open
// request would never be disconnected.
func (l *lifecycle) rejecting() bool { return l.disconnecting() && l.loop.Now() >= l.rejectFrom }

// closeTime returns the time by which a client connection that was accepted at a time must be closed unless its client
// has yet to read answers; false: clients are not to be disconnected. A connection that is accepted when that time is near or over
// has newConnTime for its first request, as far as an exit leaves it.
func (l *lifecycle) closeTime(acceptedAt eventloop.Timestamp) (closeTime eventloop.Timestamp, limited bool) {
	switch l.phase {
	case Draining:
		return max(l.closeBy, acceptedAt+newConnTime), true
	case Stopping:
		return max(l.closeBy, min(l.newConnCloseBy, acceptedAt+newConnTime)), true
	}
	return 0, false
}
