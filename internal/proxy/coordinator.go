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
	silentAfter = 2500 * time.Millisecond // the coordinator says something every second
	// lineAfter is how long a line may take to come whole, a list in many pieces for example, before the coordinator is
	// asked on a second stream as well. What it has to tell counts as told after 7 s, whether it came or not.
	lineAfter      = 4 * time.Second
	feedTimeout    = 500 * time.Millisecond // for a connect
	refollowAfter  = 100 * time.Millisecond // doubles with each attempt that brought nothing
	refollowAtMost = 400 * time.Millisecond // drains may follow at once when the coordinator is back

	// maxStreams is how many streams are followed side by side, while none brings whole lines.
	maxStreams = 2
	// Each stream in a row that did not come up in its time, or brought no whole line in it, doubles the limits of the
	// next, up to here: what takes long every time would else never come.
	maxDoublings = 3
)

var errGap = errors.New("events are missing")

// follower keeps up with the coordinator's events. Normally it has one stream. When that brings no whole line for a while,
// a second one is opened beside it; what has come of a line on the first is not thrown away.
type follower struct {
	p          *Proxy
	addr       netip.AddrPort
	last       int64               // number of the last event that was taken
	streams    []*stream           // the oldest first
	fruitless  int                 // streams in a row that were too slow
	heard      eventloop.Timestamp // when a whole line came last, or the following was begun
	again      *eventloop.Timer
	pause      time.Duration
	unreadable unreadableLine
	gap        gap
}

// gap is the last place at which events were missing. When they are missing there again, those behind it are taken: to ask once
// more would bring nothing else.
type gap struct{ after, index int64 }

// unreadableLine is the last line that was neither an event nor a number and had nothing behind it: its stream may have broken.
// When it comes again at the same place, it is passed over: to ask once more would bring it for a third time.
type unreadableLine struct {
	text  []byte
	after int64 // the last event that was taken before it
}

// stream is one connection on which the coordinator is followed.
type stream struct {
	f        *follower
	conn     *eventloop.Conn
	whole    eventloop.Timestamp // when it last brought a whole line, or was begun
	silence  time.Duration       // for how long it may bring nothing
	line     time.Duration       // for how long it may bring no whole line
	skipping bool                // the rest of a line that is too long
	over     int64               // events that may be missing, as lines were passed over since the last one
}

// WatchCoordinator keeps the proxy up to date with the coordinator at addr from event last on.
func (p *Proxy) WatchCoordinator(addr netip.AddrPort, last int64) {
	p.follower = &follower{p: p, addr: addr, last: last, pause: refollowAfter, heard: p.loop.Now()}
	p.follower.connect()
	p.follower.watch()
}

// SwitchCoordinator goes over to the coordinator at addr; its events are numbered on from those of the one before. That
// one is left at once: it may keep its connection open for a while and tell nothing more on it.
func (p *Proxy) SwitchCoordinator(addr netip.AddrPort) {
	f := p.follower
	if addr == f.addr {
		return
	}
	f.addr, f.pause, f.fruitless = addr, refollowAfter, 0
	p.loop.Stop(f.again)
	for _, s := range f.streams {
		s.conn.Close()
	}
	f.streams = nil
	f.connect()
}

// silentFor is for how many milliseconds no whole line has come. Above the coordinator's 7 s the list may be out of date.
func (f *follower) silentFor() int {
	if f == nil {
		return 0
	}
	return int((f.p.loop.Now() - f.heard).Milliseconds())
}

// connect opens one more stream.
func (f *follower) connect() {
	doubled := time.Duration(1) << min(f.fruitless, maxDoublings)
	s := &stream{f: f, whole: f.p.loop.Now(), silence: silentAfter * doubled, line: lineAfter * doubled}
	conn, err := f.p.loop.Dial(f.addr, min(feedTimeout*doubled, silentAfter), s)
	if err != nil {
		f.lost(err)
		return
	}
	s.conn = conn
	f.streams = append(f.streams, s)
	conn.Write(watch.AppendFollow(f.last))
}

// stalled says that a stream is silent, as that of a machine that was cut off is, or goes on without ending a line: a
// drain in the middle of it would not be heeded.
func (s *stream) stalled() bool {
	now := s.f.p.loop.Now()
	return now-max(s.conn.LastReceived(), s.whole) > s.silence || now-s.whole > s.line
}

// watch opens a second stream when none brings whole lines, and makes room for the next when both do not.
func (f *follower) watch() {
	stalled := 0
	for _, s := range f.streams {
		if s.stalled() {
			stalled++
		}
	}
	switch {
	case len(f.streams) == 0 || stalled < len(f.streams): // one is sound, or the next is about to be opened
	case len(f.streams) == maxStreams:
		f.fruitless++
		f.drop(slices.MinFunc(f.streams, func(a, b *stream) int { return int(a.whole - b.whole) }))
		f.connect()
	default:
		f.p.log.Warn("coordinator brings no whole line, followed on a second connection", "event", f.last)
		f.fruitless++
		f.connect()
	}
	f.p.loop.At(f.p.loop.Now()+silentAfter/10, f.watch)
}

// drop ends a stream.
func (f *follower) drop(s *stream) {
	s.conn.Close()
	f.streams = slices.DeleteFunc(f.streams, func(other *stream) bool { return other == s })
}

// Receive takes whole lines off what has come in.
func (s *stream) Receive(data []byte) (used int, err error) {
	for {
		n, line, err := watch.NextLine(data[used:])
		if errors.Is(err, watch.ErrTooLong) { // to ask for it again would bring it again
			s.skipping = true
			return len(data), nil
		}
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		if err := s.take(line, used < len(data)); err != nil {
			return used, err
		}
		if s.conn.Ended() { // another stream has taken over
			return used, nil
		}
	}
}

// take looks at one line. One that can't be read is passed over where more has come behind it, which may tell of a drain: the
// stream is whole. Else it is asked for once more.
func (s *stream) take(line []byte, more bool) error {
	f := s.f
	if s.skipping {
		s.skipping = false
		s.passOver(len(line))
		return nil
	}
	ev, err := watch.Decode(line)
	if err != nil {
		if !more && !f.comesAgain(line) {
			return err
		}
		s.passOver(len(line))
		return nil
	}
	before := f.last
	if err := s.event(ev); err != nil {
		return err
	}
	s.whole, f.heard = f.p.loop.Now(), f.p.loop.Now()
	f.pause, f.fruitless = refollowAfter, 0
	s.silence, s.line = silentAfter, lineAfter
	f.prefer(s, f.last > before)
	return nil
}

// comesAgain says whether a line that can't be read has come before at the same place, and remembers it if not.
func (f *follower) comesAgain(line []byte) bool {
	if f.unreadable.after == f.last && bytes.Equal(f.unreadable.text, line) {
		return true
	}
	f.unreadable = unreadableLine{text: bytes.Clone(line), after: f.last}
	return false
}

// passOver leaves out a line that can't be read: the events behind it are taken all the same.
func (s *stream) passOver(size int) {
	f := s.f
	s.over++
	f.p.counters.unreadableParts++
	f.p.log.Error("coordinator's line can't be read and is passed over", "event", f.last, "bytes", size)
}

// prefer ends the other streams when one has brought a whole line: all of them when it was news, else those that have
// nothing of a line.
func (f *follower) prefer(s *stream, news bool) {
	for _, other := range slices.Clone(f.streams) {
		if other != s && (news || other.conn.UnparsedBytes() == 0 || other.conn.Age() > lineAfter<<maxDoublings) {
			f.drop(other)
		}
	}
}

// event passes on the next event in order. Repeats are dropped; a gap means that the stream must be followed
// anew from the last event taken.
func (s *stream) event(ev watch.Event) error {
	f := s.f
	most := f.last + s.over
	if !ev.IsHeartbeat() {
		most++
	}
	switch place := (gap{f.last, ev.Index}); {
	case ev.IsHeartbeat() && ev.Index == f.last: // what could not be read was no event
		s.over = 0
		return nil
	case ev.Index <= f.last:
		return nil
	case ev.Index > most && place != f.gap:
		f.gap = place
		return errGap
	case ev.Index > most && ev.IsHeartbeat(): // the missing ones may still come
		return nil
	case ev.Index > most:
		f.p.counters.unreadableParts++
		f.p.log.Error("events are missing for good", "after", f.last, "before", ev.Index)
	}
	f.last, s.over = ev.Index, 0
	f.p.applyEvent(ev)
	return nil
}

// jitter returns between half of a pause and the whole. All processes lose a coordinator at the same time, and would
// else come back in step.
func jitter(pause time.Duration, rng *rand.Rand) time.Duration {
	return pause/2 + time.Duration(rng.Int64N(int64(pause/2)))
}

// Closed follows anew unless another stream is there. A refused connect says nothing of how long one takes.
func (s *stream) Closed(err error) {
	f := s.f
	f.streams = slices.DeleteFunc(f.streams, func(other *stream) bool { return other == s })
	if errors.Is(err, eventloop.ErrConnectTimeout) {
		f.fruitless++
	}
	f.lost(err)
}

// lost follows the coordinator anew, after a pause.
func (f *follower) lost(err error) {
	if len(f.streams) > 0 {
		return
	}
	if f.pause == refollowAfter { // one line for each outage
		f.p.log.Warn("coordinator lost, followed again", "error", err, "event", f.last)
	}
	f.again = f.p.loop.At(f.p.loop.Now()+jitter(f.pause, f.p.rng), f.connect)
	f.pause = min(2*f.pause, refollowAtMost)
}
