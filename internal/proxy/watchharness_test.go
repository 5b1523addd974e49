package proxy

// This file holds the test harness of the watch: a fake coordinator and a clock that the test advances.

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
	// harnessStep is the time by which one step advances the clock.
	harnessStep = 50 * time.Millisecond
	// heartbeatInterval is the time between the heartbeats of a healthy stream.
	heartbeatInterval = time.Second
	// maxEventDelay is the time after the publication of an event from which every proxy must obey the event, even
	// a proxy that has not received it. The delivery of an event must take less.
	maxEventDelay = 7 * time.Second
)

// watchHarness runs a watch against a fake coordinator. Both run on the test's goroutine, and what the coordinator
// writes in one step arrives in one piece, so the outcome does not depend on the machine.
type watchHarness struct {
	t         *testing.T
	clock     *manualClock
	loop      *eventloop.Loop
	watch     *coordinatorWatch
	delivered *recordedEvents // what the watch has delivered; nil if the test provides its own handler

	holdWrites bool     // the network delays what the coordinator writes
	listener   int      // descriptor of the coordinator's listening socket
	lines      []string // lines of all published events; the first has index 1
	streams    []*fakeStream
	script     func(number int) streamScript // returns the script of a stream; streams are numbered from 0
}

// streamScript writes the output of one step to a stream. It is called in every step after the stream's follow line
// has arrived, until the stream is closed.
type streamScript func(s *fakeStream)

// fakeStream is the coordinator's side of one stream.
type fakeStream struct {
	harness         *watchHarness
	fd              int
	closed          bool
	following       bool // the follow line has arrived
	from            int  // index in the follow line
	sent            int  // index of the last event that was written completely
	lastHeartbeatAt eventloop.Timestamp
	bytesWritten    int    // written by the script
	unsent          string // output not yet written to the socket
	script          streamScript
}

// newWatchHarness starts a coordinator that runs the scripts returned by script, and a watch that already has event 1.
func newWatchHarness(t *testing.T, script func(number int) streamScript) *watchHarness {
	t.Helper()
	delivered := &recordedEvents{}
	h := newWatchHarnessWithHandler(t, script, 0, func(*eventloop.Loop) watchHandler { return delivered })
	h.delivered = delivered
	return h
}

// newWatchHarnessWithHandler is newWatchHarness with the handler that newHandler returns, and with clockError as the
// error of the watch's clock.
func newWatchHarnessWithHandler(
	t *testing.T, script func(number int) streamScript, clockError time.Duration, newHandler func(*eventloop.Loop) watchHandler,
) *watchHarness {
	t.Helper()
	correctStart := eventloop.Timestamp(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).UnixNano())
	clock := &manualClock{now: correctStart + clockError}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	h := &watchHarness{
		t: t, clock: clock, loop: loop, lines: []string{`{"index":1,"evict":{"shard":1,"unix_ms":1}}`}, script: script,
	}
	addr := h.listen()
	h.watch = &coordinatorWatch{
		handler: newHandler(loop), loop: loop, log: slog.New(slog.DiscardHandler), rng: rand.New(rand.NewPCG(1, 1)),
		addr: addr, lastIndex: 1,
	}
	h.watch.start()
	t.Cleanup(h.close)
	return h
}

// listen opens the coordinator's listening socket and returns its address.
func (h *watchHarness) listen() netip.AddrPort {
	h.t.Helper()
	fd, errSocket := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	errBind := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	errListen := unix.Listen(fd, 64)
	sockaddr, errName := unix.Getsockname(fd)
	if err := errors.Join(errSocket, errBind, errListen, errName); err != nil {
		h.t.Fatal(err)
	}
	h.listener = fd
	bound := sockaddr.(*unix.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port))
}

// close closes the coordinator's sockets.
func (h *watchHarness) close() {
	for _, s := range h.streams {
		s.close()
	}
	unix.Close(h.listener) //nolint:errcheck // nothing was written to it
}

// publish publishes the next event. %d in format stands for its index.
func (h *watchHarness) publish(format string) {
	h.lines = append(h.lines, fmt.Sprintf(format, len(h.lines)+1))
}

// run runs steps for a duration of the test's clock.
func (h *watchHarness) run(duration time.Duration) {
	h.t.Helper()
	for end := h.clock.now + duration; h.clock.now < end; {
		h.step()
	}
}

// runUntil runs steps until the event at index has been delivered or limit has passed, and returns how long that
// took.
func (h *watchHarness) runUntil(index int64, limit time.Duration) time.Duration {
	h.t.Helper()
	start := h.clock.now
	for !h.delivered.has(index) && h.clock.now-start < limit {
		h.step()
	}
	return h.clock.now - start
}

// step advances the clock and runs first the coordinator and then the watch.
func (h *watchHarness) step() {
	h.t.Helper()
	h.clock.now += harnessStep
	h.accept()
	for _, s := range h.streams {
		s.advance()
	}
	for range 2 { // the second turn handles the effects of the first
		if err := h.loop.Wait(0); err != nil {
			h.t.Fatal(err)
		}
		h.loop.Flush()
	}
}

// accept accepts all waiting streams.
func (h *watchHarness) accept() {
	for {
		fd, _, err := unix.Accept4(h.listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		number := len(h.streams)
		h.streams = append(h.streams, &fakeStream{harness: h, fd: fd, script: h.script(number)})
	}
}

// totalBytesWritten returns how many bytes the scripts of all streams have written.
func (h *watchHarness) totalBytesWritten() int {
	total := 0
	for _, s := range h.streams {
		total += s.bytesWritten
	}
	return total
}

// advance reads what the watch has sent and runs one step of the script.
func (s *fakeStream) advance() {
	if s.closed {
		return
	}
	var input [64]byte
	n, err := unix.Read(s.fd, input[:])
	if n == 0 && err == nil { // the watch has closed the stream
		s.close()
		return
	}
	if n > 0 {
		fmt.Sscanf(string(input[:n]), "follow %d\n", &s.from) //nolint:errcheck // the watch sends nothing else
		s.sent = s.from
		s.following = true
		s.lastHeartbeatAt = s.harness.clock.now
	}
	if s.following {
		s.script(s)
	}
	s.flush()
}

// write adds text to the stream's output, which is written in one piece at the end of the step.
func (s *fakeStream) write(text string) {
	s.bytesWritten += len(text)
	s.unsent += text
}

// flush writes the output to the socket, unless the network delays it. It closes the stream if the watch has closed
// its side.
func (s *fakeStream) flush() {
	if s.closed || s.harness.holdWrites || s.unsent == "" {
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

// close flushes the output and closes the stream.
func (s *fakeStream) close() {
	if s.closed {
		return
	}
	s.flush()
	s.closed = true
	unix.Close(s.fd) //nolint:errcheck // the output has been flushed
}

// nextLine returns the line of the next event to send on the stream, or "" if there is none.
func (s *fakeStream) nextLine() string {
	if s.sent >= len(s.harness.lines) {
		return ""
	}
	return s.harness.lines[s.sent] + "\n"
}

// sendAll is the script of a healthy stream: it sends all events at once, and heartbeats.
func sendAll(s *fakeStream) {
	for line := s.nextLine(); line != "" && !s.closed; line = s.nextLine() {
		s.write(line)
		s.sent++
	}
	if s.harness.clock.now-s.lastHeartbeatAt >= heartbeatInterval {
		s.lastHeartbeatAt = s.harness.clock.now
		s.write(fmt.Sprintf("%d\n", s.sent))
	}
}

// sendEvenly returns a script that spreads the line of each event evenly over lineTime.
func sendEvenly(lineTime time.Duration) streamScript {
	written := 0
	return func(s *fakeStream) {
		line := s.nextLine()
		if line == "" {
			sendAll(s)
			return
		}
		end := min(len(line), written+1+len(line)*int(harnessStep)/int(lineTime))
		s.write(line[written:end])
		written = end
		if written == len(line) {
			s.sent++
			written = 0
		}
	}
}

// failAtNextEvent returns a script that is healthy until there is an event to send, and runs fail from then on.
func failAtNextEvent(fail streamScript) streamScript {
	failed := false
	return func(s *fakeStream) {
		failed = failed || s.nextLine() != ""
		if failed {
			fail(s)
			return
		}
		sendAll(s)
	}
}

// replaceEventLine returns a script that is healthy but writes text in place of the line of the event at index.
func replaceEventLine(index int, text string) streamScript {
	return func(s *fakeStream) {
		for s.sent < len(s.harness.lines) && !s.closed {
			line := s.nextLine()
			if s.sent+1 == index {
				line = text
			}
			s.write(line)
			s.sent++
		}
		sendAll(s)
	}
}

// failureScripts returns, by the name of the failure, functions that create the script of a stream that fails to
// deliver an event in time.
func failureScripts() map[string]func() streamScript {
	halfLine := func(s *fakeStream) {
		line := s.nextLine()
		s.write(line[:len(line)/2])
	}
	return map[string]func() streamScript{
		"silent": func() streamScript { return failAtNextEvent(func(*fakeStream) {}) },
		"half a line, then closed": func() streamScript {
			return failAtNextEvent(func(s *fakeStream) {
				halfLine(s)
				s.close()
			})
		},
		"half a line, then silent": func() streamScript {
			written := false
			return failAtNextEvent(func(s *fakeStream) {
				if !written {
					halfLine(s)
				}
				written = true
			})
		},
		"closed after 0.4 s": func() streamScript {
			var failedAt eventloop.Timestamp
			return failAtNextEvent(func(s *fakeStream) {
				if failedAt == 0 {
					failedAt = s.harness.clock.now
				}
				if s.harness.clock.now-failedAt >= 400*time.Millisecond {
					s.close()
				}
			})
		},
		"evenly over one minute": func() streamScript { return failAtNextEvent(sendEvenly(time.Minute)) },
	}
}
