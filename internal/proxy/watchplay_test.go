package proxy

// This file holds the stand-in coordinator that the tests of the watch play against, by a clock of their own.

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cloverdoor/internal/eventloop"
)

const (
	// playStep is how far one step of a play moves the clock.
	playStep = 50 * time.Millisecond
	// playHeartbeatInterval is the time between the heartbeats of a healthy stream.
	playHeartbeatInterval = time.Second
	// reportLimit is the time after which the page counts an event as told, whether it arrived or not.
	reportLimit = 7 * time.Second
)

// watchPlay is a watch and its coordinator. Both run on the test's goroutine, and what the coordinator writes in a
// step arrives in one piece, so that a play does not depend on the machine.
type watchPlay struct {
	t     *testing.T
	clock *manualClock
	loop  *eventloop.Loop
	watch *coordinatorWatch
	taken *recordedEvents // what the watch has passed on, unless the test has a handler of its own

	held     bool // the network holds up what the coordinator writes
	listener int  // descriptor
	lines    []string
	streams  []*playedStream
	script   func(number int) streamScript // how the coordinator treats its streams, counted from 0
}

// streamScript writes what is due on a stream. It is called in each step once the stream's follow line has
// arrived, until the stream is closed.
type streamScript func(s *playedStream)

// playedStream is the coordinator's side of one stream.
type playedStream struct {
	play            *watchPlay
	fd              int
	closed          bool
	following       bool // the follow line has arrived
	from            int  // index of the event that the stream follows
	sent            int  // index of the last event that was written completely
	lastHeartbeatAt eventloop.Timestamp
	bytes           int    // written by the script
	unsent          string // of them, those that the system has not been given yet
	script          streamScript
}

// newWatchPlay starts a coordinator that treats its streams by script, and a watch that has taken event 1.
func newWatchPlay(t *testing.T, script func(number int) streamScript) *watchPlay {
	t.Helper()
	taken := &recordedEvents{}
	p := newWatchPlayFor(t, script, 0, func(*eventloop.Loop) watchHandler { return taken })
	p.taken = taken
	return p
}

// newWatchPlayFor starts a play with the handler that newHandler returns. The watch's clock is wrong by an offset.
func newWatchPlayFor(
	t *testing.T, script func(number int) streamScript, wrongBy time.Duration, newHandler func(*eventloop.Loop) watchHandler,
) *watchPlay {
	t.Helper()
	right := eventloop.Timestamp(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).UnixNano())
	clock := &manualClock{now: right + wrongBy}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	p := &watchPlay{
		t: t, clock: clock, loop: loop, lines: []string{`{"index":1,"evict":{"shard":1,"unix_ms":1}}`}, script: script,
	}
	addr := p.listen()
	p.watch = &coordinatorWatch{
		handler: newHandler(loop), loop: loop, log: slog.New(slog.DiscardHandler), rng: rand.New(rand.NewPCG(1, 1)),
		addr: addr, lastIndex: 1,
	}
	p.watch.start()
	t.Cleanup(p.close)
	return p
}

// listen opens the coordinator's address.
func (p *watchPlay) listen() netip.AddrPort {
	p.t.Helper()
	fd, err1 := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	err2 := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	err3 := unix.Listen(fd, 64)
	name, err4 := unix.Getsockname(fd)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		p.t.Fatal(err)
	}
	p.listener = fd
	bound := name.(*unix.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port))
}

// close closes what the play has opened.
func (p *watchPlay) close() {
	for _, s := range p.streams {
		s.close()
	}
	unix.Close(p.listener) //nolint:errcheck // nothing was written to it
}

// publish adds the next event. %d in the format is its index.
func (p *watchPlay) publish(format string) {
	p.lines = append(p.lines, fmt.Sprintf(format, len(p.lines)+1))
}

// run plays for a time.
func (p *watchPlay) run(duration time.Duration) {
	p.t.Helper()
	for end := p.clock.now + duration; p.clock.now < end; {
		p.step()
	}
}

// runUntil plays until the event with an index has been taken, and returns how long that took. It gives up at a
// limit.
func (p *watchPlay) runUntil(index int64, limit time.Duration) time.Duration {
	p.t.Helper()
	start := p.clock.now
	for !p.taken.has(index) && p.clock.now-start < limit {
		p.step()
	}
	return p.clock.now - start
}

// step moves the clock on, first for the coordinator and then for the watch.
func (p *watchPlay) step() {
	p.t.Helper()
	p.clock.now += playStep
	p.accept()
	for _, s := range p.streams {
		s.advance()
	}
	for range 2 { // the second turn handles what the first has caused
		if err := p.loop.Wait(0); err != nil {
			p.t.Fatal(err)
		}
		p.loop.Flush()
	}
}

// accept accepts the streams that wait.
func (p *watchPlay) accept() {
	for {
		fd, _, err := unix.Accept4(p.listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		number := len(p.streams)
		p.streams = append(p.streams, &playedStream{play: p, fd: fd, script: p.script(number)})
	}
}

// bytesSent is how much the coordinator has written on all streams.
func (p *watchPlay) bytesSent() int {
	total := 0
	for _, s := range p.streams {
		total += s.bytes
	}
	return total
}

// advance reads what the watch has sent and follows the script.
func (s *playedStream) advance() {
	if s.closed {
		return
	}
	var input [64]byte
	n, err := unix.Read(s.fd, input[:])
	if n == 0 && err == nil { // the watch has closed it
		s.close()
		return
	}
	if n > 0 {
		fmt.Sscanf(string(input[:n]), "follow %d\n", &s.from) //nolint:errcheck // the watch sends nothing else
		s.sent = s.from
		s.following = true
		s.lastHeartbeatAt = s.play.clock.now
	}
	if s.following {
		s.script(s)
	}
	s.flush()
}

// write writes a text at the end of the step, in one piece with what else is written in it.
func (s *playedStream) write(text string) {
	s.bytes += len(text)
	s.unsent += text
}

// flush gives the system what has been written, unless the network holds it up. It closes a stream that the watch has
// closed.
func (s *playedStream) flush() {
	if s.closed || s.play.held || s.unsent == "" {
		return
	}
	n, err := unix.Write(s.fd, []byte(s.unsent))
	if err != nil {
		s.unsent = ""
		s.close()
		return
	}
	s.unsent = s.unsent[n:]
}

// close closes the stream after what was written on it.
func (s *playedStream) close() {
	if s.closed {
		return
	}
	s.flush()
	s.closed = true
	unix.Close(s.fd) //nolint:errcheck // what was written has been delivered
}

// nextLine is the line of the next event that the stream has to bring; empty if there is none.
func (s *playedStream) nextLine() string {
	if s.sent >= len(s.play.lines) {
		return ""
	}
	return s.play.lines[s.sent] + "\n"
}

// bringAll is the script of a healthy stream.
func bringAll(s *playedStream) {
	for line := s.nextLine(); line != "" && !s.closed; line = s.nextLine() {
		s.write(line)
		s.sent++
	}
	if s.play.clock.now-s.lastHeartbeatAt >= playHeartbeatInterval {
		s.lastHeartbeatAt = s.play.clock.now
		s.write(fmt.Sprintf("%d\n", s.sent))
	}
}

// bringSteadily returns the script of a stream that takes a time for each line, and brings it evenly.
func bringSteadily(lineTime time.Duration) streamScript {
	written := 0
	return func(s *playedStream) {
		line := s.nextLine()
		if line == "" {
			bringAll(s)
			return
		}
		end := min(len(line), written+1+len(line)*int(playStep)/int(lineTime))
		s.write(line[written:end])
		written = end
		if written == len(line) {
			s.sent++
			written = 0
		}
	}
}

// failing returns a script that is healthy until an event is there to be brought, and then fails.
func failing(fail streamScript) streamScript {
	failed := false
	return func(s *playedStream) {
		failed = failed || s.nextLine() != ""
		if failed {
			fail(s)
			return
		}
		bringAll(s)
	}
}

// spoiling returns a script that is healthy but for the line of one event, in place of which it writes another
// text.
func spoiling(index int, text string) streamScript {
	return func(s *playedStream) {
		for s.sent < len(s.play.lines) && !s.closed {
			line := s.nextLine()
			if s.sent+1 == index {
				line = text
			}
			s.write(line)
			s.sent++
		}
		bringAll(s)
	}
}

// brokenStreams are the ways in which a stream fails to bring an event.
func brokenStreams() map[string]func() streamScript {
	halfLine := func(s *playedStream) {
		line := s.nextLine()
		s.write(line[:len(line)/2])
	}
	return map[string]func() streamScript{
		"silent": func() streamScript { return failing(func(*playedStream) {}) },
		"cut": func() streamScript {
			return failing(func(s *playedStream) {
				halfLine(s)
				s.close()
			})
		},
		"stopped short": func() streamScript {
			begun := false
			return failing(func(s *playedStream) {
				if !begun {
					halfLine(s)
				}
				begun = true
			})
		},
		"ended late": func() streamScript {
			var failedAt eventloop.Timestamp
			return failing(func(s *playedStream) {
				if failedAt == 0 {
					failedAt = s.play.clock.now
				}
				if s.play.clock.now-failedAt >= 400*time.Millisecond {
					s.close()
				}
			})
		},
		"trickling": func() streamScript { return failing(bringSteadily(time.Minute)) },
	}
}
