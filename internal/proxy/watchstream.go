package proxy

import (
	"errors"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
)

// watchStream is one connection on which the coordinator is followed.
type watchStream struct {
	owner          *coordinatorWatch
	conn           *eventloop.Conn
	lastLineAt     eventloop.Timestamp // when it last brought a whole line, or was begun
	silenceTimeout time.Duration       // for how long it may bring nothing
	lineTimeout    time.Duration       // for how long it may bring no whole line
	skippingLine   bool                // the rest of a line that is too long
	skippedLines   int64               // events that may be missing, as lines were passed over since the last one
}

// isStalled says that a stream is silent, as that of a machine that was cut off is, or goes on without ending a line: a
// drain in the middle of it would not be heeded.
func (s *watchStream) isStalled() bool {
	now := s.owner.p.loop.Now()
	return now-max(s.conn.LastReceived(), s.lastLineAt) > s.silenceTimeout || now-s.lastLineAt > s.lineTimeout
}

// Receive takes whole lines off what has come in.
func (s *watchStream) Receive(data []byte) (used int, err error) {
	for {
		n, line, err := watch.NextLine(data[used:])
		if errors.Is(err, watch.ErrTooLong) { // to ask for it again would bring it again
			s.skippingLine = true
			return len(data), nil
		}
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		if err := s.handleLine(line, used < len(data)); err != nil {
			return used, err
		}
		if s.conn.Ended() { // another stream has taken over
			return used, nil
		}
	}
}

// handleLine looks at one line. One that can't be read is passed over where more has come behind it, which may tell of a drain: the
// stream is whole. Else it is asked for once more.
func (s *watchStream) handleLine(line []byte, more bool) error {
	f := s.owner
	if s.skippingLine {
		s.skippingLine = false
		s.skipLine(len(line))
		return nil
	}
	ev, err := watch.Decode(line)
	if err != nil {
		if !more && !f.isRepeatedUnreadable(line) {
			return err
		}
		s.skipLine(len(line))
		return nil
	}
	before := f.lastIndex
	if err := s.handleEvent(ev); err != nil {
		return err
	}
	s.lastLineAt, f.lastLineAt = f.p.loop.Now(), f.p.loop.Now()
	f.backoff, f.consecutiveFailures = minReconnectBackoff, 0
	s.silenceTimeout, s.lineTimeout = silenceTimeout, lineTimeout
	f.closeOthers(s, f.lastIndex > before)
	return nil
}

// skipLine leaves out a line that can't be read: the events behind it are taken all the same.
func (s *watchStream) skipLine(size int) {
	f := s.owner
	s.skippedLines++
	f.p.counters.unreadableParts++
	f.p.log.Error("coordinator's line can't be read and is passed over", "event", f.lastIndex, "bytes", size)
}

// handleEvent passes on the next handleEvent in order. Repeats are dropped; a gap means that the stream must be followed
// anew from the last handleEvent taken.
func (s *watchStream) handleEvent(ev watch.Event) error {
	f := s.owner
	most := f.lastIndex + s.skippedLines
	if !ev.IsHeartbeat() {
		most++
	}
	switch place := (eventGap{f.lastIndex, ev.Index}); {
	case ev.IsHeartbeat() && ev.Index == f.lastIndex: // what could not be read was no event
		s.skippedLines = 0
		return nil
	case ev.Index <= f.lastIndex:
		return nil
	case ev.Index > most && place != f.lastGap:
		f.lastGap = place
		return errEventGap
	case ev.Index > most && ev.IsHeartbeat(): // the missing ones may still come
		return nil
	case ev.Index > most:
		f.p.counters.unreadableParts++
		f.p.log.Error("events are missing for good", "after", f.lastIndex, "before", ev.Index)
	}
	f.lastIndex, s.skippedLines = ev.Index, 0
	f.p.applyEvent(ev)
	return nil
}

// Closed follows anew unless another stream is there. A refused connect says nothing of how long one takes.
func (s *watchStream) Closed(err error) {
	f := s.owner
	f.streams = slices.DeleteFunc(f.streams, func(other *watchStream) bool { return other == s })
	if errors.Is(err, eventloop.ErrConnectTimeout) {
		f.consecutiveFailures++
	}
	f.scheduleReconnect(err)
}
