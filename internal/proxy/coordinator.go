package proxy

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
)

const (
	silenceTimeout = 2500 * time.Millisecond // the coordinator says something every second
	// lineTimeout is how long a line may take to come whole, a list in many pieces for example, before the coordinator is
	// asked on a second stream as well. What it has to tell counts as told after 7 s, whether it came or not.
	lineTimeout         = 4 * time.Second
	watchConnectTimeout = 500 * time.Millisecond // for a connect
	minReconnectBackoff = 100 * time.Millisecond // doubles with each attempt that brought nothing
	maxReconnectBackoff = 400 * time.Millisecond // drains may follow at once when the coordinator is back

	// maxWatchStreams is how many streams are followed side by side, while none brings whole lines.
	maxWatchStreams = 2
	// Each stream in a row that did not come up in its time, or brought no whole line in it, doubles the limits of the
	// next, up to here: what takes long every time would else never come.
	maxTimeoutDoublings = 3
)

var errEventGap = errors.New("events are missing")

// coordinatorWatch keeps up with the coordinator's events. Normally it has one stream. When that brings no whole line for a while,
// a second one is opened beside it; what has come of a line on the first is not thrown away.
type coordinatorWatch struct {
	p                   *Proxy
	addr                netip.AddrPort
	lastIndex           int64               // number of the last event that was taken
	streams             []*watchStream      // the oldest first
	consecutiveFailures int                 // streams in a row that were too slow
	lastLineAt          eventloop.Timestamp // when a whole line came last, or the following was begun
	reconnectTimer      *eventloop.Timer
	backoff             time.Duration
	lastUnreadable      unreadableLine
	lastGap             eventGap
}

// eventGap is the last place at which events were missing. When they are missing there again, those behind it are taken: to ask once
// more would bring nothing else.
type eventGap struct{ after, index int64 }

// unreadableLine is the last line that was neither an event nor a number and had nothing behind it: its stream may have broken.
// When it comes again at the same place, it is passed over: to ask once more would bring it for a third time.
type unreadableLine struct {
	text  []byte
	after int64 // the last event that was taken before it
}

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

// WatchCoordinator keeps the proxy up to date with the coordinator at addr from event last on.
func (p *Proxy) WatchCoordinator(addr netip.AddrPort, last int64) {
	p.coordinator = &coordinatorWatch{p: p, addr: addr, lastIndex: last, backoff: minReconnectBackoff, lastLineAt: p.loop.Now()}
	p.coordinator.openStream()
	p.coordinator.checkStreams()
}

// SwitchCoordinator goes over to the coordinator at addr; its events are numbered on from those of the one before. That
// one is left at once: it may keep its connection open for a while and tell nothing more on it.
func (p *Proxy) SwitchCoordinator(addr netip.AddrPort) {
	f := p.coordinator
	if addr == f.addr {
		return
	}
	f.addr, f.backoff, f.consecutiveFailures = addr, minReconnectBackoff, 0
	p.loop.Stop(f.reconnectTimer)
	for _, s := range f.streams {
		s.conn.Close()
	}
	f.streams = nil
	f.openStream()
}

// silentMillis is for how many milliseconds no whole line has come. Above the coordinator's 7 s the list may be out of date.
func (f *coordinatorWatch) silentMillis() int {
	if f == nil {
		return 0
	}
	return int((f.p.loop.Now() - f.lastLineAt).Milliseconds())
}

// openStream opens one more stream.
func (f *coordinatorWatch) openStream() {
	doubled := time.Duration(1) << min(f.consecutiveFailures, maxTimeoutDoublings)
	s := &watchStream{owner: f, lastLineAt: f.p.loop.Now(), silenceTimeout: silenceTimeout * doubled, lineTimeout: lineTimeout * doubled}
	conn, err := f.p.loop.Dial(f.addr, min(watchConnectTimeout*doubled, silenceTimeout), s)
	if err != nil {
		f.scheduleReconnect(err)
		return
	}
	s.conn = conn
	f.streams = append(f.streams, s)
	conn.Write(watch.AppendFollow(f.lastIndex))
}

// isStalled says that a stream is silent, as that of a machine that was cut off is, or goes on without ending a line: a
// drain in the middle of it would not be heeded.
func (s *watchStream) isStalled() bool {
	now := s.owner.p.loop.Now()
	return now-max(s.conn.LastReceived(), s.lastLineAt) > s.silenceTimeout || now-s.lastLineAt > s.lineTimeout
}

// checkStreams opens a second stream when none brings whole lines, and makes room for the next when both do not.
func (f *coordinatorWatch) checkStreams() {
	stalled := 0
	for _, s := range f.streams {
		if s.isStalled() {
			stalled++
		}
	}
	switch {
	case len(f.streams) == 0 || stalled < len(f.streams): // one is sound, or the next is about to be opened
	case len(f.streams) == maxWatchStreams:
		f.consecutiveFailures++
		f.closeStream(slices.MinFunc(f.streams, func(a, b *watchStream) int { return int(a.lastLineAt - b.lastLineAt) }))
		f.openStream()
	default:
		f.p.log.Warn("coordinator brings no whole line, followed on a second connection", "event", f.lastIndex)
		f.consecutiveFailures++
		f.openStream()
	}
	f.p.loop.At(f.p.loop.Now()+silenceTimeout/10, f.checkStreams)
}

// closeStream ends a stream.
func (f *coordinatorWatch) closeStream(s *watchStream) {
	s.conn.Close()
	f.streams = slices.DeleteFunc(f.streams, func(other *watchStream) bool { return other == s })
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

// isRepeatedUnreadable says whether a line that can't be read has come before at the same place, and remembers it if not.
func (f *coordinatorWatch) isRepeatedUnreadable(line []byte) bool {
	if f.lastUnreadable.after == f.lastIndex && bytes.Equal(f.lastUnreadable.text, line) {
		return true
	}
	f.lastUnreadable = unreadableLine{text: bytes.Clone(line), after: f.lastIndex}
	return false
}

// skipLine leaves out a line that can't be read: the events behind it are taken all the same.
func (s *watchStream) skipLine(size int) {
	f := s.owner
	s.skippedLines++
	f.p.counters.unreadableParts++
	f.p.log.Error("coordinator's line can't be read and is passed over", "event", f.lastIndex, "bytes", size)
}

// closeOthers ends the other streams when one has brought a whole line: all of them when it was news, else those that have
// nothing of a line.
func (f *coordinatorWatch) closeOthers(s *watchStream, news bool) {
	for _, other := range slices.Clone(f.streams) {
		if other != s && (news || other.conn.UnparsedBytes() == 0 || other.conn.Age() > lineTimeout<<maxTimeoutDoublings) {
			f.closeStream(other)
		}
	}
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

// jitteredBackoff returns between half of a pause and the whole. All processes lose a coordinator at the same time, and would
// else come back in step.
func jitteredBackoff(pause time.Duration, rng *rand.Rand) time.Duration {
	return pause/2 + time.Duration(rng.Int64N(int64(pause/2)))
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

// scheduleReconnect follows the coordinator anew, after a pause.
func (f *coordinatorWatch) scheduleReconnect(err error) {
	if len(f.streams) > 0 {
		return
	}
	if f.backoff == minReconnectBackoff { // one line for each outage
		f.p.log.Warn("coordinator lost, followed again", "error", err, "event", f.lastIndex)
	}
	f.reconnectTimer = f.p.loop.At(f.p.loop.Now()+jitteredBackoff(f.backoff, f.p.rng), f.openStream)
	f.backoff = min(2*f.backoff, maxReconnectBackoff)
}
