package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
)

// clockMessageSize is the size in bytes of a message between a test and a program with a manual clock. The test sends
// the time of a step, to which the clock advances; the program acknowledges the step with the same time.
const clockMessageSize = 8

// manualClock is the test's side of the clock of a program whose time passes only when the test advances it.
type manualClock struct {
	t          *testing.T
	now        time.Duration
	out, acks  *os.File // the test's ends of the two pipes
	toProgram  *os.File // the program's end of out
	ackProgram *os.File // the program's end of acks
}

// newManualClock returns a clock that is set to the current time, and opens its pipes.
func newManualClock(t *testing.T) *manualClock {
	t.Helper()
	m := &manualClock{t: t, now: time.Duration(time.Now().UnixNano())}
	var err1, err2 error
	m.toProgram, m.out, err1 = os.Pipe()
	m.acks, m.ackProgram, err2 = os.Pipe()
	if err := errors.Join(err1, err2); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, f := range []*os.File{m.out, m.acks, m.toProgram, m.ackProgram} {
			f.Close() //nolint:errcheck // not used any more
		}
	})
	return m
}

// attach passes the program's ends of the pipes to a command that has not been started yet.
func (m *manualClock) attach(cmd *exec.Cmd) {
	firstFD := 3 + len(cmd.ExtraFiles)
	cmd.ExtraFiles = append(cmd.ExtraFiles, m.toProgram, m.ackProgram)
	cmd.Env = append(cmd.Env, fmt.Sprintf("CLOVERDOOR_TEST_CLOCK=%d", m.now), fmt.Sprintf("CLOVERDOOR_TEST_CLOCK_FD=%d", firstFD))
}

// advance advances the program's time by offset. When it returns, the program has carried out everything that became due.
func (m *manualClock) advance(offset time.Duration) {
	m.t.Helper()
	m.now += offset
	if _, err := m.out.Write(binary.BigEndian.AppendUint64(nil, uint64(m.now))); err != nil {
		m.t.Fatal(err)
	}
	var ack [clockMessageSize]byte
	m.acks.SetReadDeadline(time.Now().Add(testTimeout)) //nolint:errcheck // a pipe supports it
	if _, err := io.ReadFull(m.acks, ack[:]); err != nil {
		m.t.Fatalf("the program has not acknowledged a step of its clock: %v", err)
	}
	got := time.Duration(binary.BigEndian.Uint64(ack[:]))
	if got != m.now {
		m.t.Fatalf("the program's clock is at %v, want %v", got, m.now)
	}
}

// manualTimeSource is the program's side of a manual clock.
type manualTimeSource struct {
	now        time.Duration
	stepFD     int  // descriptor from which the steps are read
	ackFD      int  // descriptor to which the acknowledgments are written
	ackPending bool // a step has been read and is not acknowledged yet
}

// stepPollInterval limits, in real time, the program's wait for events before it looks for the next step.
const stepPollInterval = time.Millisecond

// Now returns the time of the last step.
func (c *manualTimeSource) Now() eventloop.Timestamp { return c.now }

// PollTimeout acknowledges the step if the last turn of the event loop has carried one out, and reads the next one if
// it has arrived. It returns timeout, but at most stepPollInterval.
func (c *manualTimeSource) PollTimeout(timeout time.Duration) time.Duration {
	var step [clockMessageSize]byte
	if c.ackPending {
		c.ackPending = false
		binary.BigEndian.PutUint64(step[:], uint64(c.now))
		syscall.Write(c.ackFD, step[:]) //nolint:errcheck // a test that has ended reads no acknowledgment
	}
	n, err := syscall.Read(c.stepFD, step[:])
	if err == nil && n == clockMessageSize {
		c.now = time.Duration(binary.BigEndian.Uint64(step[:]))
		c.ackPending = true
	}
	return min(timeout, stepPollInterval)
}

// offsetClock is a wall clock that is wrong by a fixed offset.
type offsetClock struct {
	eventloop.TimeSource
	offset time.Duration
}

// Now returns the wrong time.
func (c offsetClock) Now() eventloop.Timestamp { return c.TimeSource.Now() + c.offset }

// clockOffsetEnv is the environment variable with the duration by which the program's wall clock is wrong.
const clockOffsetEnv = "CLOVERDOOR_TEST_CLOCK_OFFSET"

// serveWithTestClock runs the program with the clock and the system call faults that its environment sets. A violation
// of an invariant ends it with a panic.
func serveWithTestClock() {
	injectSyscallFaults()
	onViolation = func(text string) { panic("invariant violated: " + text) }
	start, err1 := strconv.ParseInt(os.Getenv("CLOVERDOOR_TEST_CLOCK"), 10, 64)
	fd, err2 := strconv.Atoi(os.Getenv("CLOVERDOOR_TEST_CLOCK_FD"))
	if offset, err := time.ParseDuration(os.Getenv(clockOffsetEnv)); err == nil {
		serve(offsetClock{eventloop.SystemClock(), offset})
		return
	}
	if errors.Join(err1, err2) != nil {
		main()
		return
	}
	syscall.SetNonblock(fd, true) //nolint:errcheck // a pipe supports it
	serve(&manualTimeSource{now: time.Duration(start), stepFD: fd, ackFD: fd + 1})
}

// TestWallClockWrongAtTheStart checks that a process whose wall clock is wrong at the start applies purges correctly
// once an event of the coordinator has shown the right time.
func TestWallClockWrongAtTheStart(t *testing.T) {
	for _, offset := range []string{"1h", "-1h", "4s", "-4s"} {
		env := newTestEnv(t)
		env.extraEnv = []string{clockOffsetEnv + "=" + offset}
		env.start(fullList(env.cache.Addr(), env.origin.Addr()))
		env.awaitAliveStatus("200")
		receive(t, env.followLines, "follow")
		c := env.dial()
		purgedAt := time.Now()
		env.sendEvent(fmt.Sprintf(`{"index":2,"evict":{"ref":"0000000000000001","unix_ms":%d}}`, purgedAt.UnixMilli()))
		env.awaitEventsApplied()
		c.request(1, "artes", longTimeoutMS, 1, "")
		got := receive(t, env.cache.calls, "call")
		maxAge, _ := strconv.ParseInt(got.fields["maxage"], 10, 64)
		sincePurge := time.Since(purgedAt).Milliseconds()
		if maxAge <= 0 || maxAge > sincePurge {
			t.Errorf("%s: maxage is %d when the purge was %d ms ago", offset, maxAge, sincePurge)
		}
		got.answer("served", fmt.Sprintf("etag=a,note=TCP_JOIN,made=%d", purgedAt.UnixMilli()-1000), "from before the purge")
		got = receive(t, env.cache.calls, offset+": further call")
		got.answer("served", fmt.Sprintf("etag=b,note=TCP_MISS,made=%d", time.Now().UnixMilli()), "from after the purge")
		a := receive(t, c.answers, "answer")
		if a.status != "200" || a.body != "from after the purge" {
			t.Errorf(`%s: got answer %+v, want status 200 and body "from after the purge"`, offset, a)
		}
	}
}
