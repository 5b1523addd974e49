package proxy

// This file holds one stream of the watch: its lines, and the order of their events.

import (
	"errors"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
)

const (
	// minHeartbeatInterval and maxHeartbeatInterval are between which times a heartbeat arrives after the one before
	// if neither was held up: one is sent every second.
	minHeartbeatInterval = 500 * time.Millisecond
	maxHeartbeatInterval = 1500 * time.Millisecond
)

// watchStream is one connection to the coordinator. It decodes lines and passes on the events that are next
// in order.
//
// What can't be decoded, or is missing, must not hold up what follows: it is skipped and counted, and requested
// again beside it (see coordinatorWatch.passOver). Where nothing follows it yet, it is requested once more before
// it is skipped, from the last event that was passed on.
type watchStream struct {
	owner              *coordinatorWatch
	conn               *eventloop.Conn
	lastReadableLineAt eventloop.Timestamp // when the last complete line arrived, or the stream was opened
	lastHeartbeatAt    eventloop.Timestamp // when the last heartbeat arrived; 0: none has
	connectTimeout     time.Duration       // how long its connect may take
	lineTimeout        time.Duration       // how long it may receive no complete line
	discardingLine     bool                // the line that is arriving is too long; its rest is discarded
	skippedLines       int64               // lines skipped since the last event, each of which may have been an event
	recovering         bool                // opened for missing events, and has not brought the last event yet
}

// newWatchStream returns a stream that is yet to be connected. While others are stalled, it has to bring its first
// line within the retry timeout.
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

// stalledAt is when the stream counts as stalled if nothing more arrives: it is silent, as after a network
// partition, or has not completed a line for too long.
func (s *watchStream) stalledAt() eventloop.Timestamp {
	if !s.conn.Connected() {
		return s.lastReadableLineAt + s.connectTimeout
	}
	lastInput := max(s.conn.LastReceived(), s.lastReadableLineAt)
	return min(lastInput+silenceTimeout, s.lastReadableLineAt+s.lineTimeout)
}

// isStalled reports whether that time has come.
func (s *watchStream) isStalled() bool { return s.owner.loop.Now() >= s.stalledAt() }

// isReceiving reports whether the stream is in the middle of a line and not silent.
func (s *watchStream) isReceiving() bool {
	return s.conn.UnparsedBytes() > 0 && s.owner.loop.Now()-s.conn.LastReceived() < silenceTimeout
}

// Receive handles the complete lines in data.
func (s *watchStream) Receive(data []byte) (used int, err error) {
	for {
		n, line, err := watch.NextLine(data[used:])
		if errors.Is(err, watch.ErrTooLong) { // a new stream would bring the same line
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
	}
}

// handleLine handles one line. An error closes the stream, and the watch reconnects. One that can't be
// decoded is skipped at once where more follows it, as the stream is intact then and what follows may be a
// drain. At the end of the input the connection may have been cut, so the line is requested once more first.
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

// skipLine counts a line that can't be decoded. Events after it are still taken.
func (s *watchStream) skipLine(sizeBytes int) {
	s.skippedLines++
	s.owner.handler.countUnreadable(1)
	s.owner.log.Error("coordinator line skipped, malformed",
		"event", s.owner.lastIndex, "bytes", sizeBytes)
}

// handleEvent passes on an event if it is next in order, or was missing; other events up to lastIndex are
// repeats and are dropped. A gap closes the stream. A gap that is there again on the next stream is passed over
// once an event behind it arrives; a heartbeat alone does not, as the missing events may still come.
func (s *watchStream) handleEvent(ev watch.Event) error {
	w := s.owner
	if ev.Index <= w.lastIndex {
		s.skippedLines = 0 // none of the lines was a newer event
		w.deliverLate(ev)
		return nil
	}
	requests := 0
	if ev.Index > s.maxNextIndex(ev) {
		if !w.isRepeatedGap(eventGap{after: w.lastIndex, before: ev.Index}) {
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

// deliver passes on a new event. Those between it and the last one are missing and have been requested again as
// often as requests says; a heartbeat stands for a missing one itself.
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

// recordHeartbeat notes at which time no event after lastIndex was published, as far as a heartbeat shows it: it
// was written after the stream was opened. One that came when it was due was not held up on its way either, so
// that it was written just before it arrived.
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
		writtenAfter = w.loop.EarliestArrival()
	}
	w.upToDateAt = max(w.upToDateAt, writtenAfter)
}

// maxNextIndex is the highest index that ev can have if no event is missing. A heartbeat repeats the index of
// the last event.
func (s *watchStream) maxNextIndex(ev watch.Event) int64 {
	highest := s.owner.lastIndex + s.skippedLines
	if ev.IsHeartbeat() {
		return highest
	}
	return highest + 1
}

// Closed reconnects unless another stream is healthy.
func (s *watchStream) Closed(err error) {
	s.owner.removeStream(s)
	s.owner.scheduleReconnect(err)
}
