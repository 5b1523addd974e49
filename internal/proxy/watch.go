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
	// left out. publishedAfter is a time at which the event was not published yet.
	applyEvent(ev watch.Event, publishedAfter eventloop.Timestamp)
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
	recoveryTimer *eventloop.Timer // requests them again; nil: nothing is scheduled
	recoveryDue   eventloop.Timestamp
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
	w.closeExcessStreams()
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
