package proxy

// This file holds the watch of the coordinator: which streams are open, and what has been received on them.

import (
	"bytes"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
)

const (
	// watchConnectTimeout is how long a connect to the coordinator may take.
	watchConnectTimeout = 500 * time.Millisecond
	// silenceTimeout is how long a stream may receive nothing. The coordinator sends a heartbeat every
	// second.
	silenceTimeout = 2500 * time.Millisecond
	// lineTimeout is how long a stream may receive no complete line, while a long list arrives in pieces for
	// example. After 7 s a drain must be heeded whether its event has arrived or not, so a second stream has
	// to be opened well before that.
	lineTimeout = 4 * time.Second
	// maxTimeoutDoublings bounds the growth of these three timeouts, which double with each consecutive
	// failure: what always takes longer than a fixed timeout would never arrive.
	maxTimeoutDoublings = 3
	// streamCheckInterval is the time between checks of the streams for these timeouts.
	streamCheckInterval = silenceTimeout / 10

	// maxWatchStreams is how many streams may be open at once.
	maxWatchStreams = 2

	// minReconnectBackoff is the pause before the first reconnect after an outage has begun. It doubles with
	// each further one.
	minReconnectBackoff = 100 * time.Millisecond
	// maxReconnectBackoff bounds that pause. It is short, as the coordinator may report drains as soon as it
	// is back.
	maxReconnectBackoff = 400 * time.Millisecond
)

// errEventGap closes a stream on which events are missing.
var errEventGap = errors.New("events are missing")

// watchHandler is what the watch needs of the proxy. Its methods are called on the loop's goroutine and must
// not block.
type watchHandler interface {
	// applyEvent takes the next event. Each is passed on once, in the order of their indices; some may be
	// left out.
	applyEvent(ev watch.Event)
	// countUnreadable counts lines or events that were skipped.
	countUnreadable(parts int)
}

// coordinatorWatch receives the coordinator's events: the endpoint list, its changes, and purges.
//
// Normally one stream is open. A second one is opened when no complete line has arrived on the first for too
// long; the first stays open, as it may still complete a long line. When both are stalled, the one whose last
// complete line is older is replaced. The first stream that brings a complete line again closes the other
// (see closeOthers). When no stream is left, the watch reconnects after a backoff.
type coordinatorWatch struct {
	handler watchHandler
	loop    *eventloop.Loop
	log     *slog.Logger
	rng     *rand.Rand // for the backoff

	addr                netip.AddrPort
	streams             []*watchStream // the oldest first
	consecutiveFailures int            // streams since the last complete line that exceeded a timeout
	reconnectTimer      *eventloop.Timer
	backoff             time.Duration // before the next reconnect

	lastIndex          int64               // index of the last event that was passed on
	lastReadableLineAt eventloop.Timestamp // when the last complete line arrived on any stream, or the watch began
	lastUnreadable     unreadableLine
	lastGap            eventGap
}

// eventGap is a place at which events are missing: those between the two indices.
type eventGap struct{ after, before int64 }

// unreadableLine is a line that is neither an event nor a heartbeat, and the last event before it.
type unreadableLine struct {
	text  []byte
	after int64 // index of the event
}

// start opens the first stream.
func (w *coordinatorWatch) start() {
	w.lastReadableLineAt = w.loop.Now()
	w.backoff = minReconnectBackoff
	w.openStream()
	w.checkStreams()
}

// switchTo watches the coordinator at addr instead, from the same event on. The streams of the one before are
// closed at once: it may keep them open and send nothing more on them.
func (w *coordinatorWatch) switchTo(addr netip.AddrPort) {
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.backoff = minReconnectBackoff
	w.consecutiveFailures = 0
	w.loop.Stop(w.reconnectTimer)
	for _, s := range w.streams {
		s.conn.Close()
	}
	w.streams = nil
	w.openStream()
}

// silentMillis is for how many milliseconds no complete line has arrived; 0 before the watch has begun. Above
// 7000 the endpoint list may be out of date.
func (w *coordinatorWatch) silentMillis() int {
	if w == nil {
		return 0
	}
	return int((w.loop.Now() - w.lastReadableLineAt).Milliseconds())
}

// openStream opens one more stream.
func (w *coordinatorWatch) openStream() {
	factor := time.Duration(1) << min(w.consecutiveFailures, maxTimeoutDoublings)
	s := &watchStream{
		owner:              w,
		lastReadableLineAt: w.loop.Now(),
		silenceTimeout:     silenceTimeout * factor,
		lineTimeout:        lineTimeout * factor,
	}
	conn, err := w.loop.Dial(w.addr, min(watchConnectTimeout*factor, silenceTimeout), s)
	if err != nil {
		w.scheduleReconnect(err)
		return
	}
	s.conn = conn
	w.streams = append(w.streams, s)
	conn.Write(watch.AppendFollow(w.lastIndex))
}

// checkStreams opens a stream when all that are open are stalled, and closes one for it where there are too
// many. While none is open, a reconnect is scheduled already.
func (w *coordinatorWatch) checkStreams() {
	if len(w.streams) > 0 && !slices.ContainsFunc(w.streams, func(s *watchStream) bool { return !s.isStalled() }) {
		w.replaceStalled()
	}
	w.loop.At(w.loop.Now()+streamCheckInterval, w.checkStreams)
}

// replaceStalled opens a stream beside a stalled one, or instead of the older of two.
func (w *coordinatorWatch) replaceStalled() {
	if len(w.streams) < maxWatchStreams {
		w.log.Warn("coordinator watch stalled, opening a second stream", "event", w.lastIndex)
	} else {
		byLastLine := func(a, b *watchStream) int { return int(a.lastReadableLineAt - b.lastReadableLineAt) }
		w.closeStream(slices.MinFunc(w.streams, byLastLine))
	}
	w.consecutiveFailures++
	w.openStream()
}

// closeStream closes and removes a stream.
func (w *coordinatorWatch) closeStream(s *watchStream) {
	s.conn.Close()
	w.removeStream(s)
}

// removeStream forgets a stream that is closed.
func (w *coordinatorWatch) removeStream(s *watchStream) {
	w.streams = slices.DeleteFunc(w.streams, func(other *watchStream) bool { return other == s })
}

// closeOthers closes other streams after s has brought a complete line. If the line was a new event, all are
// closed. Otherwise one that is in the middle of a line may bring an event that s never will, and stays for
// as long as a line may take.
func (w *coordinatorWatch) closeOthers(s *watchStream, newEvent bool) {
	for _, other := range slices.Clone(w.streams) {
		if other == s {
			continue
		}
		if newEvent || other.conn.UnparsedBytes() == 0 || other.conn.Age() > lineTimeout<<maxTimeoutDoublings {
			w.closeStream(other)
		}
	}
}

// recordLine notes that a complete line has arrived, which ends a series of failures.
func (w *coordinatorWatch) recordLine() {
	w.lastReadableLineAt = w.loop.Now()
	w.backoff = minReconnectBackoff
	w.consecutiveFailures = 0
}

// isRepeatedUnreadable reports whether a line that can't be decoded came last time at the same place too, and
// remembers it otherwise.
func (w *coordinatorWatch) isRepeatedUnreadable(line []byte) bool {
	if w.lastUnreadable.after == w.lastIndex && bytes.Equal(w.lastUnreadable.text, line) {
		return true
	}
	w.lastUnreadable = unreadableLine{text: bytes.Clone(line), after: w.lastIndex}
	return false
}

// isRepeatedGap reports whether a gap was found last time at the same place too, and remembers it otherwise.
func (w *coordinatorWatch) isRepeatedGap(gap eventGap) bool {
	if gap == w.lastGap {
		return true
	}
	w.lastGap = gap
	return false
}

// scheduleReconnect opens a stream after the backoff, unless another one is open.
func (w *coordinatorWatch) scheduleReconnect(err error) {
	if len(w.streams) > 0 {
		return
	}
	if w.backoff == minReconnectBackoff { // once for each outage
		w.log.Warn("coordinator watch lost, reconnecting", "error", err, "event", w.lastIndex)
	}
	w.reconnectTimer = w.loop.At(w.loop.Now()+jitteredBackoff(w.backoff, w.rng), w.openStream)
	w.backoff = min(2*w.backoff, maxReconnectBackoff)
}

// jitteredBackoff draws a pause between half of backoff and all of it. All processes of a fleet lose a
// coordinator at the same time: with equal pauses they would reconnect at the same time too.
func jitteredBackoff(backoff time.Duration, rng *rand.Rand) time.Duration {
	return backoff/2 + time.Duration(rng.Int64N(int64(backoff/2)))
}
