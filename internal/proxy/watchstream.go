package proxy

// This file holds a single stream of the watch: how its lines are read and its events put in order.

import (
	"errors"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
)

const (
	// minHeartbeatInterval and maxHeartbeatInterval bound the time between two heartbeats that arrived without
	// delay. The coordinator sends one every second.
	minHeartbeatInterval = 500 * time.Millisecond
	maxHeartbeatInterval = 1500 * time.Millisecond
)

// watchStream is one connection to the coordinator. It decodes lines and delivers events in the order of their
// indices.
//
// An event that is missing or can't be decoded must not delay the events that follow. It is skipped, counted and
// requested again on another stream (see coordinatorWatch.recordMissing). A gap, or an unreadable line that nothing
// follows yet, first closes the stream: the next stream continues after the last delivered event, and the event is
// skipped only if the same fault occurs there.
type watchStream struct {
	owner              *coordinatorWatch
	conn               *eventloop.Conn
	lastReadableLineAt eventloop.Timestamp // when the last readable line arrived, or the stream was opened
	lastHeartbeatAt    eventloop.Timestamp // when the last heartbeat arrived; 0: none has
	connectTimeout     time.Duration       // longest time that connecting may take
	lineTimeout        time.Duration       // longest time that the stream may go without a readable line
	discardingLine     bool                // the current line is too long; its rest is discarded
	skippedLines       int64               // lines skipped since the last event; each may have been an event
	recovering         bool                // the stream requests missing events and has not reached lastIndex yet
}

// newWatchStream returns a stream that is not connected yet. While others are stalled, the retry timeout limits its
// connect and its first line.
func newWatchStream(w *coordinatorWatch) *watchStream {
	s := &watchStream{
		owner:              w,
		lastReadableLineAt: w.loop.Now(),
		connectTimeout:     watchConnectTimeout,
		lineTimeout:        lineTimeout,
	}
	if w.stalls > 0 {
		s.connectTimeout = w.retryTimeout()
		s.lineTimeout = w.retryTimeout()
	}
	return s
}

// stalledAt returns the time at which the stream becomes stalled if nothing more arrives. It is stalled when
// connecting takes too long, when it is silent, as after a network partition, or when no readable line has arrived
// for too long.
func (s *watchStream) stalledAt() eventloop.Timestamp {
	if !s.conn.Connected() {
		return s.lastReadableLineAt + s.connectTimeout
	}
	lastInput := max(s.conn.LastReceived(), s.lastReadableLineAt)
	return min(lastInput+silenceTimeout, s.lastReadableLineAt+s.lineTimeout)
}

// isStalled reports whether the stream is stalled.
func (s *watchStream) isStalled() bool { return s.owner.loop.Now() >= s.stalledAt() }

// isReceiving reports whether the stream is in the middle of a line and not silent.
func (s *watchStream) isReceiving() bool {
	return s.conn.UnparsedBytes() > 0 && s.owner.loop.Now()-s.conn.LastReceived() < silenceTimeout
}

// Receive handles the complete lines in data, as far as the time of the stream in this turn suffices.
func (s *watchStream) Receive(data []byte) (used int, err error) {
	for {
		n, line, err := watch.NextLine(data[used:])
		if errors.Is(err, watch.ErrLineTooLong) { // a new stream would carry the same line
			s.discardingLine = true
			return len(data), nil
		}
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		moreFollows := used < len(data)
		err = s.handleLine(line, moreFollows)
		if err != nil {
			return used, err
		}
		if s.conn.Ended() { // handling the line closed this stream
			return used, nil
		}
		if moreFollows && s.conn.SliceOver() {
			s.conn.Yield()
			return used, nil
		}
	}
}

// handleLine handles one line. An error closes the stream, and the watch reconnects. A line that can't be decoded is
// skipped at once if more input follows, because the stream is intact then and the input may hold a drain. At the
// end of the input the connection may have been cut, so the line is requested once more before it is skipped.
func (s *watchStream) handleLine(line []byte, moreFollows bool) error {
	if s.discardingLine {
		s.discardingLine = false
		s.skipLine(len(line))
		return nil
	}
	ev, err := watch.Decode(line)
	if err != nil {
		if !moreFollows && !s.owner.isRepeatedUnreadable(line) {
			return err
		}
		s.skipLine(len(line))
		return nil
	}
	lastIndex := s.owner.lastIndex
	err = s.handleEvent(ev)
	if err != nil {
		return err
	}
	if ev.IsHeartbeat() {
		s.recordHeartbeat(ev.Index)
	}
	if ev.Index >= lastIndex {
		s.recovering = false
	}
	s.lastReadableLineAt = s.owner.loop.Now()
	s.lineTimeout = lineTimeout
	s.owner.recordLine()
	s.owner.closeOthers(s, s.owner.lastIndex > lastIndex)
	return nil
}

// skipLine counts and logs a line that can't be decoded. Later events are still delivered.
func (s *watchStream) skipLine(sizeBytes int) {
	s.skippedLines++
	s.owner.handler.countUnreadable(1)
	s.owner.log.Error("coordinator line skipped, malformed",
		"event", s.owner.lastIndex, "bytes", sizeBytes)
}

// handleEvent delivers an event if it is next in order or was missing, and drops other events up to lastIndex as
// repeats. A gap closes the stream. If the next stream has the same gap, the gap is skipped when an event after
// it arrives. A heartbeat does not skip it, because the missing events may still arrive.
func (s *watchStream) handleEvent(ev watch.Event) error {
	w := s.owner
	if ev.Index <= w.lastIndex {
		s.skippedLines = 0 // none of the skipped lines was a newer event
		w.deliverLate(ev)
		return nil
	}
	requests := 0
	if ev.Index > s.maxNextIndex(ev) {
		if !w.isRepeatedGap(eventGap{afterIndex: w.lastIndex, beforeIndex: ev.Index}) {
			return errEventGap
		}
		if ev.IsHeartbeat() {
			return nil
		}
		w.handler.countUnreadable(1)
		w.log.Error("coordinator events skipped, missing", "after", w.lastIndex, "before", ev.Index)
		requests = 1
	}
	s.deliver(ev, requests)
	return nil
}

// deliver passes a new event to the handler. The events between lastIndex and the new one are recorded as missing;
// requests is the number of times that they have been requested again already. A heartbeat with a new index shows
// that the event with that index is missing too.
func (s *watchStream) deliver(ev watch.Event, requests int) {
	w := s.owner
	lastMissing := ev.Index - 1
	if ev.IsHeartbeat() {
		lastMissing = ev.Index
	}
	w.recordMissing(w.lastIndex+1, lastMissing, requests)
	w.lastIndex = ev.Index
	s.skippedLines = 0
	if !ev.IsHeartbeat() {
		w.missing.recordDelivered(ev)
	}
	w.handler.applyEvent(ev, w.upToDateAt)
}

// recordHeartbeat updates upToDateAt. A heartbeat that repeats lastIndex shows that no later event had been published
// when the heartbeat was written, which was after the stream was opened. A heartbeat that arrived on schedule was not
// delayed on its way, so it was written just before it arrived.
func (s *watchStream) recordHeartbeat(index int64) {
	w := s.owner
	now := w.loop.Now()
	sinceLast := now - s.lastHeartbeatAt
	s.lastHeartbeatAt = now
	if index != w.lastIndex {
		return
	}
	writtenAfter := s.conn.CreatedAt()
	if minHeartbeatInterval <= sinceLast && sinceLast <= maxHeartbeatInterval {
		writtenAfter = s.conn.InputArrivedAfter()
	}
	w.upToDateAt = max(w.upToDateAt, writtenAfter)
}

// maxNextIndex returns the highest index that ev can have if no event is missing. Each skipped line may have been an
// event. A heartbeat repeats the index of the last event.
func (s *watchStream) maxNextIndex(ev watch.Event) int64 {
	highest := s.owner.lastIndex + s.skippedLines
	if ev.IsHeartbeat() {
		return highest
	}
	return highest + 1
}

// Closed removes the stream and schedules a reconnect unless another stream is healthy.
func (s *watchStream) Closed(err error) {
	s.owner.removeStream(s)
	s.owner.scheduleReconnect(err)
}
