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

// clockMessageSize is the length of a message between a test and a program that goes by the test's clock: a time, or the
// acknowledgement of one.
const clockMessageSize = 8

// manualClock is the clock of a program whose time a test moves on. Time stands still between two manualClock.
type manualClock struct {
	t          *testing.T
	now        time.Duration
	out, acks  *os.File // the test's ends
	toProgram  *os.File // the program's end of out
	ackProgram *os.File // and of acks
}

func newManualClock(t *testing.T) *manualClock {
	t.Helper()
	s := &manualClock{t: t, now: time.Duration(time.Now().UnixNano())}
	var err1, err2 error
	s.toProgram, s.out, err1 = os.Pipe()
	s.acks, s.ackProgram, err2 = os.Pipe()
	if err := errors.Join(err1, err2); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, f := range []*os.File{s.out, s.acks, s.toProgram, s.ackProgram} {
			f.Close() //nolint:errcheck // nothing is written any more
		}
	})
	return s
}

// attach hands the program's ends to a program that has yet to be started.
func (s *manualClock) attach(cmd *exec.Cmd) {
	first := 3 + len(cmd.ExtraFiles)
	cmd.ExtraFiles = append(cmd.ExtraFiles, s.toProgram, s.ackProgram)
	cmd.Env = append(cmd.Env, fmt.Sprintf("CLOVERDOOR_TEST_CLOCK=%d", s.now), fmt.Sprintf("CLOVERDOOR_TEST_CLOCK_FD=%d", first))
}

// advance moves the program's time on. When it returns, the program has carried out all that became due.
func (s *manualClock) advance(by time.Duration) {
	s.t.Helper()
	s.now += by
	if _, err := s.out.Write(binary.BigEndian.AppendUint64(nil, uint64(s.now))); err != nil {
		s.t.Fatal(err)
	}
	var ack [clockMessageSize]byte
	s.acks.SetReadDeadline(time.Now().Add(testTimeout)) //nolint:errcheck // a pipe takes it
	if _, err := io.ReadFull(s.acks, ack[:]); err != nil {
		s.t.Fatalf("the program has not carried out a step: %v", err)
	}
	if got := time.Duration(binary.BigEndian.Uint64(ack[:])); got != s.now {
		s.t.Fatalf("the program is at %v, want %v", got, s.now)
	}
}

// manualTimeSource is the other end: the time source of a program that goes by a test's clock.
type manualTimeSource struct {
	now     time.Duration
	in      int // descriptors
	acks    int
	pending bool // a step has been taken and not acknowledged
}

// stepPollInterval is how long, in real time, the program waits for readiness before it looks for the next step.
const stepPollInterval = time.Millisecond

func (c *manualTimeSource) Now() eventloop.Timestamp { return c.now }

// PollTimeout acknowledges the step that the last turn went by, and takes the next one.
func (c *manualTimeSource) PollTimeout(wanted time.Duration) time.Duration {
	var step [clockMessageSize]byte
	if c.pending {
		c.pending = false
		binary.BigEndian.PutUint64(step[:], uint64(c.now))
		syscall.Write(c.acks, step[:]) //nolint:errcheck // a test that has ended reads no acknowledgement
	}
	if n, err := syscall.Read(c.in, step[:]); err == nil && n == clockMessageSize {
		c.now, c.pending = time.Duration(binary.BigEndian.Uint64(step[:])), true
	}
	return min(wanted, stepPollInterval)
}

// offsetClock goes by a wall clock that was wrong when the program started.
type offsetClock struct {
	eventloop.TimeSource
	by time.Duration
}

func (c offsetClock) Now() eventloop.Timestamp { return c.TimeSource.Now() + c.by }

// clockOffset is the environment variable that tells by how much the program's wall clock is wrong.
const clockOffset = "CLOVERDOOR_TEST_CLOCK_OFFSET"

// serveByTestClock runs the program, by a clock that the test moves on if there is one.
func serveByTestClock() {
	injectSyscallFaults()
	onViolation = func(text string) { panic("rule broken: " + text) }
	start, err1 := strconv.ParseInt(os.Getenv("CLOVERDOOR_TEST_CLOCK"), 10, 64)
	fd, err2 := strconv.Atoi(os.Getenv("CLOVERDOOR_TEST_CLOCK_FD"))
	if by, err := time.ParseDuration(os.Getenv(clockOffset)); err == nil {
		serve(offsetClock{eventloop.SystemClock(), by})
		return
	}
	if errors.Join(err1, err2) != nil {
		main()
		return
	}
	syscall.SetNonblock(fd, true) //nolint:errcheck // a pipe takes it
	serve(&manualTimeSource{now: time.Duration(start), in: fd, acks: fd + 1})
}

// A process that is started while its wall clock is wrong keeps to purges and to the slow start of caches all the same, once
// the coordinator has told what time it is.
func TestWallClockWrongAtTheStart(t *testing.T) {
	for _, by := range []string{"1h", "-1h", "4s", "-4s"} {
		w := newTestEnv(t)
		w.extraEnv = []string{clockOffset + "=" + by}
		w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
		w.awaitAlive("200")
		receive(t, w.followLines, "follow")
		c := w.dial()
		moment := time.Now()
		w.sendEvent(fmt.Sprintf(`{"index":2,"evict":{"ref":"0000000000000001","unix_ms":%d}}`, moment.UnixMilli()))
		w.awaitEventsTaken()
		c.request(1, "artes", longTimeoutMS, 1, "")
		got := receive(t, w.cache.calls, "call")
		age, _ := strconv.ParseInt(got.fields["maxage"], 10, 64)
		if most := time.Since(moment).Milliseconds(); age <= 0 || age > most {
			t.Errorf("%s: maxage is %d when the purge was %d ms ago", by, age, most)
		}
		got.answer("served", fmt.Sprintf("etag=a,note=TCP_JOIN,made=%d", moment.UnixMilli()-1000), "from before the purge")
		got = receive(t, w.cache.calls, by+": further call")
		got.answer("served", fmt.Sprintf("etag=b,note=TCP_MISS,made=%d", time.Now().UnixMilli()), "from after the purge")
		if a := receive(t, c.answers, "answer"); a.status != "200" || a.body != "from after the purge" {
			t.Errorf("%s: %+v", by, a)
		}
	}
}
