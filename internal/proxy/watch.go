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

// isRepeatedUnreadable says whether a line that can't be read has come before at the same place, and remembers it if not.
func (f *coordinatorWatch) isRepeatedUnreadable(line []byte) bool {
	if f.lastUnreadable.after == f.lastIndex && bytes.Equal(f.lastUnreadable.text, line) {
		return true
	}
	f.lastUnreadable = unreadableLine{text: bytes.Clone(line), after: f.lastIndex}
	return false
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

// jitteredBackoff returns between half of a pause and the whole. All processes lose a coordinator at the same time, and would
// else come back in step.
func jitteredBackoff(pause time.Duration, rng *rand.Rand) time.Duration {
	return pause/2 + time.Duration(rng.Int64N(int64(pause/2)))
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
