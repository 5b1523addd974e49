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
	// watchConnectTimeout is how long a connect to the coordinator may take before another stream is opened.
	watchConnectTimeout = 500 * time.Millisecond
	// silenceTimeout is how long a stream may receive nothing. The coordinator sends a heartbeat every
	// second.
	silenceTimeout = 2500 * time.Millisecond
	// lineTimeout is how long a stream may receive no complete line, while a long list arrives in pieces for
	// example.
	lineTimeout = 3500 * time.Millisecond
	// maxLineTime is how long a stream that goes on receiving pieces of a line is kept.
	maxLineTime = 32 * time.Second
	// streamCheckInterval is the longest time between checks of the streams for these timeouts.
	streamCheckInterval = silenceTimeout / 10
	// minStreamCheckInterval is the shortest.
	minStreamCheckInterval = 50 * time.Millisecond

	// quickReplacements is how many streams in a row are opened quickRetryTimeout after the one before has
	// stalled. After 7 s a drain must be heeded whether its event has arrived or not: lineTimeout and as many
	// retries have to end well before that.
	quickReplacements = 3
	// quickRetryTimeout is how long such a stream may take for its first line: a heartbeat comes within a
	// second.
	quickRetryTimeout = 1250 * time.Millisecond
	// maxRetryTimeout bounds that time, which doubles with each further stall.
	maxRetryTimeout = 4 * quickRetryTimeout

	// maxWatchStreams is how many streams may be open at once.
	maxWatchStreams = 4
	// maxReceivingStreams is how many of them may be in the middle of a line, as each makes a slow coordinator
	// slower.
	maxReceivingStreams = 2

	// minReconnectBackoff is the pause before the first reconnect after an outage has begun. It doubles with
	// each further one.
	minReconnectBackoff = 100 * time.Millisecond
	// maxReconnectBackoff bounds that pause. It is short, as the coordinator may report drains as soon as it
	// is back.
	maxReconnectBackoff = 400 * time.Millisecond
)

var (
	// errEventGap closes a stream on which events are missing.
	errEventGap = errors.New("events are missing")
	// errRecoveryEnded is the reason of a reconnect after the last stream was one that was opened for missing
	// events.
	errRecoveryEnded = errors.New("missing events were given up")
)

// watchHandler is what the watch needs of the proxy. Its methods are called on the loop's goroutine and must
// not block.
type watchHandler interface {
	// applyEvent takes the next event. Each is passed on once, in the order of their indices; some may be
	// left out. notPublishedAt is a time at which the event was not published yet.
	applyEvent(ev watch.Event, notPublishedAt eventloop.Timestamp)
	// applyLateEvent takes an event that was left out before. superseded reports whether newer events, which
	// have been passed on already, say what holds for an endpoint.
	applyLateEvent(ev watch.Event, superseded func(endpoint string) bool)
	// countUnreadable counts lines or events that were skipped.
	countUnreadable(parts int)
}

// coordinatorWatch receives the coordinator's events: the endpoint list, its changes, and purges.
//
// Normally one stream is open. When no complete line has arrived on it for too long it is stalled, and another
// one is opened beside it: the first may still complete a long line, and a new one may bring at once what the
// first never will. When all that are open are stalled, one more is opened, up to maxWatchStreams; then one is
// replaced (see makeRoom). The first stream that brings a complete line again closes the others (see
// closeOthers). When a stream ends and no other one is healthy, the watch reconnects after a backoff.
type coordinatorWatch struct {
	handler watchHandler
	loop    *eventloop.Loop
	log     *slog.Logger
	rng     *rand.Rand // for the backoff

	addr           netip.AddrPort
	streams        []*watchStream // the oldest first
	streamsOpened  int            // so far: the number of the last stream
	stalls         int            // since the last complete line: how often all streams were stalled
	reconnectTimer *eventloop.Timer
	backoff        time.Duration // before the next reconnect

	lastIndex          int64               // index of the last event that was passed on
	lastReadableLineAt eventloop.Timestamp // when the last complete line arrived on any stream, or the watch began
	lastUnreadable     unreadableLine
	lastGap            eventGap

	// upToDateAt is the latest known time at which no event after lastIndex was published.
	upToDateAt eventloop.Timestamp

	missing       missingEvents
	recoveryTimer *eventloop.Timer // requests them again
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
	w.upToDateAt = w.loop.Now() // the configuration holds the events as they stand at the start
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
	w.stalls = 0
	w.loop.Stop(w.reconnectTimer)
	w.reconnectTimer = nil
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

// openStream opens one more stream for all events after the last.
func (w *coordinatorWatch) openStream() { w.openStreamAfter(w.lastIndex, false) }

// openStreamAfter opens one more stream for all events after the one with the index. recovering says that it is
// opened for missing events.
func (w *coordinatorWatch) openStreamAfter(index int64, recovering bool) {
	w.makeRoom()
	w.streamsOpened++
	s := newWatchStream(w)
	s.recovering = recovering
	conn, err := w.loop.Dial(w.addr, silenceTimeout, s)
	if err != nil {
		w.scheduleReconnect(err)
		return
	}
	s.conn = conn
	w.streams = append(w.streams, s)
	conn.Write(watch.AppendFollow(index))
}

// checkStreams opens a stream when all that are open are stalled. While none is open, a reconnect is scheduled
// already.
func (w *coordinatorWatch) checkStreams() {
	if len(w.streams) > 0 && !w.hasHealthyStream() {
		w.log.Warn("coordinator watch stalled, opening another stream",
			"event", w.lastIndex, "streams", len(w.streams), "stream", w.streamsOpened+1)
		w.stalls++
		w.openStream()
	}
	w.loop.At(w.loop.Now()+w.nextStreamCheck(), w.checkStreams)
}

// nextStreamCheck is the time until the streams have to be checked again.
func (w *coordinatorWatch) nextStreamCheck() time.Duration {
	next := time.Duration(0)
	for _, s := range w.streams {
		next = max(next, s.stalledAt()-w.loop.Now())
	}
	return min(max(next, minStreamCheckInterval), streamCheckInterval)
}

// hasHealthyStream reports whether a stream is open that is not stalled.
func (w *coordinatorWatch) hasHealthyStream() bool {
	return slices.ContainsFunc(w.streams, func(s *watchStream) bool { return !s.isStalled() })
}

// retryTimeout is how long a new stream may take for its first line after all others have stalled.
func (w *coordinatorWatch) retryTimeout() time.Duration {
	doublings := max(0, w.stalls-quickReplacements)
	return min(quickRetryTimeout<<min(doublings, quickReplacements), maxRetryTimeout)
}

// makeRoom closes streams until one more may be opened. Of those that are in the middle of a line, the one that
// has received most of it stays; after it, the newer ones do.
func (w *coordinatorWatch) makeRoom() {
	kept := w.mostAdvancedStream()
	receiving := 0
	for _, s := range w.streams {
		if s.isReceiving() {
			receiving++
		}
	}
	for _, s := range slices.Clone(w.streams) {
		tooManyReceive := receiving >= maxReceivingStreams && s.isReceiving()
		if s != kept && (tooManyReceive || len(w.streams) >= maxWatchStreams) {
			w.closeStream(s)
		}
	}
}

// mostAdvancedStream is the stream that has received most of a line, unless it has taken maxLineTime; nil: none
// is in the middle of one.
func (w *coordinatorWatch) mostAdvancedStream() *watchStream {
	var most *watchStream
	for _, s := range w.streams {
		if !s.isReceiving() || w.loop.Now()-s.lastReadableLineAt > maxLineTime {
			continue
		}
		if most == nil || s.conn.UnparsedBytes() > most.conn.UnparsedBytes() {
			most = s
		}
	}
	return most
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
// as long as a line may take. A stream for missing events stays, and closes no others until it has caught up.
func (w *coordinatorWatch) closeOthers(s *watchStream, newEvent bool) {
	if s.recovering {
		return
	}
	for _, other := range slices.Clone(w.streams) {
		if other == s || other.recovering {
			continue
		}
		tookTooLong := w.loop.Now()-other.lastReadableLineAt > maxLineTime
		if newEvent || other.conn.UnparsedBytes() == 0 || tookTooLong {
			w.closeStream(other)
		}
	}
}

// recordLine notes that a complete line has arrived, which ends a series of stalls.
func (w *coordinatorWatch) recordLine() {
	w.lastReadableLineAt = w.loop.Now()
	w.backoff = minReconnectBackoff
	w.stalls = 0
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

// scheduleReconnect opens a stream after the backoff, unless a healthy one is open.
func (w *coordinatorWatch) scheduleReconnect(err error) {
	if w.reconnectTimer != nil || w.hasHealthyStream() {
		return
	}
	if w.backoff == minReconnectBackoff { // once for each outage
		w.log.Warn("coordinator watch lost, reconnecting", "error", err, "event", w.lastIndex)
	}
	w.reconnectTimer = w.loop.At(w.loop.Now()+jitteredBackoff(w.backoff, w.rng), w.reconnect)
	w.backoff = min(2*w.backoff, maxReconnectBackoff)
}

// reconnect opens a stream, unless a healthy one is open by now.
func (w *coordinatorWatch) reconnect() {
	w.reconnectTimer = nil
	if !w.hasHealthyStream() {
		w.openStream()
	}
}

// jitteredBackoff draws a pause between half of backoff and all of it. All processes of a fleet lose a
// coordinator at the same time: with equal pauses they would reconnect at the same time too.
func jitteredBackoff(backoff time.Duration, rng *rand.Rand) time.Duration {
	return backoff/2 + time.Duration(rng.Int64N(int64(backoff/2)))
}
