package proxy

// This file holds the watch of the coordinator: its open streams and the state that they share.

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
	// errEventGap is the reason for closing a stream whose next event skips indices.
	errEventGap = errors.New("events are missing")
	// errRecoveryEnded is the logged reason of a reconnect when recovery has given up and its stream was the only
	// one open.
	errRecoveryEnded = errors.New("missing events were given up")
)

// watchHandler receives the events of a watch. Its methods are called on the event loop's goroutine and must not
// block.
type watchHandler interface {
	// applyEvent handles the next event. Each event is delivered once, in the order of the indices, which may have
	// gaps. The event was published after publishedAfter.
	applyEvent(ev watch.Event, publishedAfter eventloop.Timestamp)
	// applyLateEvent handles an event that was skipped before. superseded reports whether a newer event that has
	// been delivered already determines the state of an endpoint.
	applyLateEvent(ev watch.Event, superseded func(endpoint string) bool)
	// countUnreadable adds to the count of lines, event parts and gaps that were skipped.
	countUnreadable(parts int)
}

// coordinatorWatch receives the coordinator's events: the endpoint list, its changes, and purges.
//
// Normally one stream is open. A stream is stalled when no readable line has arrived on it for too long. Another
// stream is then opened beside it, because the stalled one may still complete a long line, while a new one may
// deliver at once what the stalled one never will. Whenever all open streams are stalled, one more is opened, up
// to maxWatchStreams; beyond that it replaces others (see closeExcessStreams). The first stream that delivers a
// readable line closes the others (see closeOthers). When a stream ends and no other is healthy, the watch
// reconnects after a backoff.
type coordinatorWatch struct {
	handler watchHandler
	loop    *eventloop.Loop
	log     *slog.Logger
	rng     *rand.Rand // for the backoff

	addr           netip.AddrPort
	streams        []*watchStream // the oldest first
	streamsOpened  int            // total so far; also the number of the newest stream
	stalls         int            // number of times that all streams were stalled since the last readable line
	reconnectTimer *eventloop.Timer
	backoff        time.Duration // before the next reconnect

	lastIndex          int64               // index of the newest event that was delivered or skipped
	lastReadableLineAt eventloop.Timestamp // when the last readable line arrived on any stream, or the watch started
	unreadable         unreadableLines
	lastGap            eventGap

	// upToDateAt is the latest known time before which no event after lastIndex was published.
	upToDateAt eventloop.Timestamp

	missing       missingEvents
	recoveryTimer *eventloop.Timer    // requests the missing events again; nil: nothing is scheduled
	recoveryDue   eventloop.Timestamp // when recoveryTimer fires
}

// eventGap is a range of missing events, between the last index delivered or skipped (afterIndex) and the next
// index received (beforeIndex).
type eventGap struct{ afterIndex, beforeIndex int64 }

// maxUnreadableLines is the number of unreadable lines that are remembered.
const maxUnreadableLines = 16

// unreadableLines are the lines behind one event that could not be decoded.
type unreadableLines struct {
	contents   [][]byte
	afterIndex int64 // index of the last event delivered before the lines
}

// has reports whether a line is among them.
func (u *unreadableLines) has(line []byte) bool {
	return slices.ContainsFunc(u.contents, func(content []byte) bool { return bytes.Equal(content, line) })
}

// start opens the first stream.
func (w *coordinatorWatch) start() {
	w.lastReadableLineAt = w.loop.Now()
	w.upToDateAt = w.loop.Now() // the configuration's initial state includes all events published before the start
	w.backoff = minReconnectBackoff
	w.openStream()
	w.checkStreams()
}

// switchTo watches the coordinator at addr instead of the previous one, continuing after lastIndex. Streams to the
// previous coordinator are closed at once, because it may keep them open without sending anything more.
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

// silentMillis returns the milliseconds since the last readable line; 0 before the watch has started. Above 7000
// the endpoint list may be out of date (a drain must be obeyed after 7 s, see quickRetries).
func (w *coordinatorWatch) silentMillis() int {
	if w == nil {
		return 0
	}
	return int((w.loop.Now() - w.lastReadableLineAt).Milliseconds())
}

// openStream opens one more stream, for all events after lastIndex.
func (w *coordinatorWatch) openStream() { w.openStreamAfter(w.lastIndex, false) }

// openStreamAfter opens one more stream, for all events after index. recovering marks a stream that requests
// missing events again.
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
	conn.SetGroup(eventloop.Watch)
	s.conn = conn
	w.streams = append(w.streams, s)
	conn.Write(watch.EncodeFollow(index))
}

// closeStream closes and removes a stream.
func (w *coordinatorWatch) closeStream(s *watchStream) {
	s.conn.Close()
	w.removeStream(s)
}

// removeStream removes a closed stream from the open ones.
func (w *coordinatorWatch) removeStream(s *watchStream) {
	w.streams = slices.DeleteFunc(w.streams, func(other *watchStream) bool { return other == s })
}

// closeOthers closes other streams after s has delivered a readable line. If the line was a new event, it closes
// all of them. Otherwise a stream in the middle of a line may deliver an event that s never will, so it is kept
// until maxLineTime has passed since its last readable line. A stream that requests missing events is always kept,
// and closes no others until it has caught up.
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

// recordLine records that a readable line has arrived, which ends a series of stalls.
func (w *coordinatorWatch) recordLine() {
	w.lastReadableLineAt = w.loop.Now()
	w.backoff = minReconnectBackoff
	w.stalls = 0
}

// isRepeatedUnreadable reports whether the line was unreadable behind the same event before. If not, it remembers the line.
// Where there are too many, each counts as repeated, so that none of them closes a stream.
func (w *coordinatorWatch) isRepeatedUnreadable(line []byte) bool {
	if w.unreadable.afterIndex != w.lastIndex {
		w.unreadable = unreadableLines{afterIndex: w.lastIndex}
	}
	if w.unreadable.has(line) || len(w.unreadable.contents) >= maxUnreadableLines {
		return true
	}
	w.unreadable.contents = append(w.unreadable.contents, bytes.Clone(line))
	return false
}

// isRepeatedGap reports whether the previous gap was the same. If not, it remembers this one.
func (w *coordinatorWatch) isRepeatedGap(gap eventGap) bool {
	if gap == w.lastGap {
		return true
	}
	w.lastGap = gap
	return false
}
