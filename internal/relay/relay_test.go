package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cloverdoor/internal/fault"
)

// testTimeout limits every wait of a test.
const testTimeout = 20 * time.Second

// closeOnce closes c. It does not fail if c is closed already.
func closeOnce(tb testing.TB, c io.Closer) {
	tb.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		tb.Errorf("close: %v", err)
	}
}

// testRelay is a relay in front of an echo server, with the log lines of the faults that have fired.
type testRelay struct {
	t       *testing.T
	relay   *Relay
	mu      sync.Mutex
	firings []string
}

// newTestRelay starts a relay with one link named c and the given rules.
func newTestRelay(t *testing.T, rules string) *testRelay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOnce(t, ln) })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(conn, conn) //nolint:errcheck // a failure shows at the other end
				conn.Close()        //nolint:errcheck // as above
			}()
		}
	}()
	script, err := fault.Parse(fmt.Sprintf("link c listen 127.0.0.1:0 to %s\n%s", ln.Addr(), rules))
	if err != nil {
		t.Fatal(err)
	}
	r := &testRelay{t: t}
	if r.relay, err = Start(script, func(e fault.Firing) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.firings = append(r.firings, e.String())
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.relay.Close)
	return r
}

func (r *testRelay) dial() *net.TCPConn {
	r.t.Helper()
	c, err := net.DialTimeout("tcp", r.relay.Addr("c").String(), testTimeout)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { closeOnce(r.t, c) })
	c.SetDeadline(time.Now().Add(testTimeout)) //nolint:errcheck // a failure shows in what is read
	return c.(*net.TCPConn)
}

// exchange sends text, closes the sending direction and returns what is read.
func (r *testRelay) exchange(text string) (string, error) {
	c := r.dial()
	io.WriteString(c, text) //nolint:errcheck // a failure shows in what is read
	c.CloseWrite()          //nolint:errcheck // as above
	got, err := io.ReadAll(c)
	return string(got), err
}

// TestRelayCarriesOutThePlan checks what a client reads through a relay with one fault.
func TestRelayCarriesOutThePlan(t *testing.T) {
	for rule, want := range map[string]string{
		"":                          "abcdefghij",
		"c up byte 2 : drop 3":      "abfghij",
		"c down byte 2 : repeat 2":  "abcdcdefghij",
		"c : pieces 3":              "abcdefghij",
		"c down byte 4 : halfclose": "abcd",
		"c up byte 4 : halfclose":   "abcd",
		"c up : delay 30ms":         "abcdefghij",
		"c down byte 5 : close":     "abcde",
	} {
		got, err := newTestRelay(t, rule).exchange("abcdefghij")
		if got != want || err != nil {
			t.Errorf("%s: read %q, error %v, want %q", rule, got, err, want)
		}
	}
	for _, rule := range []string{"c up byte 5 : reset", `c down match "cd" : reset`} {
		r := newTestRelay(t, rule)
		got, err := r.exchange("abcdefghij")
		if !errors.Is(err, syscall.ECONNRESET) || len(got) > 4 {
			t.Errorf("%s: read %q, error %v, want a reset and at most 4 bytes", rule, got, err)
		}
	}
	c, err := net.DialTimeout("tcp", newTestRelay(t, "c : reset").relay.Addr("c").String(), testTimeout)
	if err == nil { // the dial may already fail with the reset
		defer closeOnce(t, c)
		c.SetDeadline(time.Now().Add(testTimeout)) //nolint:errcheck // a failure shows in what is read
		_, err = c.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset when the connection begins: got error %v, want a reset", err)
	}
}

// TestTimedFaultsAndBlockedConnections checks that a timed rule fires on an idle connection, that new connections are
// refused and stalled, and that they succeed after the stall.
func TestTimedFaultsAndBlockedConnections(t *testing.T) {
	r := newTestRelay(t, "c conn 1 time 300ms : reset\nc conn 2 : refuse 500ms\nc conn 3 : stall 1500ms")
	firstConn := r.dial()
	r.awaitFault("c#2 both - line 3 refuse")
	if _, err := net.DialTimeout("tcp", r.relay.Addr("c").String(), testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial while refused: got error %v, want a refused connection", err)
	}
	if _, err := firstConn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("timed reset: got error %v, want a reset", err)
	}
	for {
		c, err := net.DialTimeout("tcp", r.relay.Addr("c").String(), testTimeout)
		if err == nil {
			r.t.Cleanup(func() { closeOnce(r.t, c) })
			break
		}
	}
	r.awaitFault("c#3 both - line 4 stall")
	if c, err := net.DialTimeout("tcp", r.relay.Addr("c").String(), 50*time.Millisecond); err == nil {
		closeOnce(t, c)
		t.Error("a connection was established while the link was stalled")
	}
	got, err := r.exchange("again")
	if got != "again" || err != nil {
		t.Errorf(`after the stall: read %q, error %v, want "again" and no error`, got, err)
	}
}

// TestTimedEndingWaitsForDelayedOutput guards against lost bytes and a reset connection when a timed halfclose or close
// fires while a delay holds bytes back. Only the fault reset may discard them, as the documentation of scripts says.
func TestTimedEndingWaitsForDelayedOutput(t *testing.T) {
	for _, ending := range []string{"halfclose", "close"} {
		r := newTestRelay(t, "c down : delay 400ms\nc down time 200ms : "+ending)
		c := r.dial()
		if _, err := io.WriteString(c, "held back"); err != nil {
			t.Fatal(err)
		}
		c.SetReadDeadline(time.Now().Add(testTimeout)) //nolint:errcheck // ends the read
		got, err := io.ReadAll(c)
		if string(got) != "held back" || err != nil {
			t.Errorf(`%s: read %q, error %v, want "held back" and no error`, ending, got, err)
		}
		r.awaitFault("c#1 down - line 3 " + ending)
	}
}

// awaitFault waits until a fault with the given log line has fired.
func (r *testRelay) awaitFault(logLine string) {
	r.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		found := slices.Contains(r.firings, logLine)
		r.mu.Unlock()
		if found {
			return
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("fault %q did not fire, only %q", logLine, r.firings)
		}
	}
}

// TestSlowReceiverBlocksOnlyItsConnection checks that a receiver that does not read holds up only its own connection,
// and that the relay buffers a bounded amount for it.
func TestSlowReceiverBlocksOnlyItsConnection(t *testing.T) {
	r := newTestRelay(t, "")
	blockedConn := r.dial()
	var sentBytes int64
	blockedConn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) //nolint:errcheck // a failure shows in the writes
	for block := make([]byte, 64<<10); ; {
		n, err := blockedConn.Write(block)
		sentBytes += int64(n)
		if err != nil {
			break
		}
		if sentBytes > 256<<20 {
			t.Fatal("the relay buffers without a limit")
		}
	}
	got, err := r.exchange("other")
	if got != "other" || err != nil {
		t.Errorf(`other connection: read %q, error %v, want "other" and no error`, got, err)
	}
}

// TestSameRunSameLog checks that two runs of one script with the same traffic log the same faults.
func TestSameRunSameLog(t *testing.T) {
	run := func() string {
		r := newTestRelay(t, "seed 5\nc up chance 0.4 byte 3 : garble 2\nc every 3 byte 4 : reset\nc down match \"ef\" : drop 2\n")
		for range 20 {
			r.exchange("abcdefghij") //nolint:errcheck // some are reset
		}
		r.relay.Close()
		return strings.Join(r.firings, "\n")
	}
	sortLines := func(log string) string {
		lines := strings.Split(log, "\n")
		slices.Sort(lines)
		return strings.Join(lines, "\n")
	}
	a := sortLines(run())
	b := sortLines(run())
	if a != b || len(a) < 100 {
		t.Errorf("the logs differ or are too short:\n%s\n\nand\n\n%s", a, b)
	}
}

// TestStartFailsIfAddressInUse checks that Start fails as a whole, with an error that names the link, when the address
// of one link is in use.
func TestStartFailsIfAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, taken)
	script, err := fault.Parse("link a listen 127.0.0.1:0 to 127.0.0.1:9\nlink b listen " + taken.Addr().String() + " to 127.0.0.1:9\n")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Start(script, func(fault.Firing) {})
	if err == nil || !strings.Contains(err.Error(), "link b") {
		t.Errorf("got relay %v, error %v, want an error that names link b", r, err)
	}
}

// benchmarkEcho measures round trips of 64 bytes on one connection.
func benchmarkEcho(b *testing.B, addr string) {
	b.Helper()
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		b.Fatal(err)
	}
	defer closeOnce(b, c)
	block := make([]byte, 64)
	for b.Loop() {
		if _, err := c.Write(block); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, block); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRoundTrip compares a relay without faults with a direct connection, and measures the relay's memory.
func BenchmarkRoundTrip(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer closeOnce(b, ln)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn) //nolint:errcheck // a failure shows at the other end
		}
	}()
	script, err := fault.Parse("link c listen 127.0.0.1:0 to " + ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	r, err := Start(script, func(fault.Firing) {})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	b.Run("direct", func(b *testing.B) { benchmarkEcho(b, ln.Addr().String()) })
	b.Run("relay", func(b *testing.B) { benchmarkEcho(b, r.Addr("c").String()) })
	b.Run("memory of 200 connections", func(b *testing.B) {
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var conns []net.Conn
			for range 200 {
				c, err := net.DialTimeout("tcp", r.Addr("c").String(), testTimeout)
				if err != nil {
					b.Fatal(err)
				}
				io.WriteString(c, "x")          //nolint:errcheck // a failure shows in what is read
				io.ReadFull(c, make([]byte, 1)) //nolint:errcheck // waits until the relay has set up the connection
				conns = append(conns, c)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/200, "bytes/connection")
			for _, c := range conns {
				closeOnce(b, c)
			}
		}
	})
}
