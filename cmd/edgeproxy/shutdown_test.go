package main

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// At an ordered stop everything that still comes is answered, and the program ends by itself.
func TestTermAnswersEverything(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	first := receive(t, w.cache.calls, "call")
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	w.awaitAlive("503")
	late := w.dial()
	late.request(1, "artes", longTimeoutMS, 2, "")
	second := receive(t, w.cache.calls, "call")
	w.eventually("no more connections taken", func() bool {
		conn, err := net.Dial("tcp", w.addr)
		if err == nil {
			closeOnce(t, conn)
		}
		return err != nil
	})
	first.answer("served", "-", "one")
	second.answer("served", "-", "two")
	if a := receive(t, c.answers, "answer"); a.body != "one" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, late.answers, "answer"); a.body != "two" {
		t.Errorf("%+v", a)
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// What is taken while the program stops is answered before it may be killed, however long its client would wait.
func TestTermEndsInTime(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "one")
	receive(t, c.answers, "answer")
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	w.awaitAlive("503")
	c.request(2, "registro", longTimeoutMS, 2, "")
	receive(t, w.origin.calls, "call")
	if a := receive(t, c.answers, "answer"); a.id != 2 || a.status != "502" {
		t.Errorf("%+v", a)
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// A request of which a few bytes have come when the program stops is waited for, and answered.
func TestHalfARequestWhileStopping(t *testing.T) {
	for _, part := range []int{3, 16, 60} { // of a header, just BEGIN_REQUEST, and in the parameters
		w := startTestEnv(t)
		w.cache.answerAll("served", "-", "fine")
		c := w.dial()
		c.request(1, "artes", longTimeoutMS, 1, "")
		receive(t, c.answers, "answer")
		out := &bufferedConn{Conn: c.Conn}
		(&client{Conn: out}).request(2, "artes", longTimeoutMS, 2, "")
		rest := out.buffer[part:]
		out.buffer = out.buffer[:part]
		out.flush()
		w.signal(syscall.SIGTERM)
		w.awaitAlive("503")
		w.awaitNotListening()
		c.Write(rest) //nolint:errcheck // shows in the answers
		if a := receive(t, c.answers, "answer"); a.id != 2 || a.body != "fine" && a.status != "503" {
			t.Errorf("%d bytes before the stop: %+v", part, a)
		}
		if err := receive(t, w.exited, "exit"); err != nil {
			t.Error(err)
		}
	}
}

// What waits to be accepted when the program stops listening is still taken.
func TestWaitingConnectionWhileStopping(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	w.signal(syscall.SIGTERM)
	w.awaitAlive("503")
	thaw := w.pause()
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	time.Sleep(time.Second) // not a race: by the time it goes on, it listens no longer
	thaw()
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// A client that reads slowly gets all that it is owed when the program stops.
func TestSlowReaderWhileStopping(t *testing.T) {
	w := startTestEnv(t)
	conn, out := newUnreadingClient(w)
	out.answer("served", "-", "last")
	w.signal(syscall.SIGTERM)
	w.awaitAlive("503")
	w.awaitNotListening()
	c := newClient(conn)
	for range 32 {
		if a := receive(t, c.answers, "answer"); a.status != "200" || a.id != 99 && len(a.body) != 240_000 {
			t.Errorf("%d: %s, %d bytes", a.id, a.status, len(a.body))
		}
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// New settings and the order to stop, both at once: what is open is answered, and the program ends in good order.
func TestReloadThenStop(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	open := receive(t, w.cache.calls, "call")
	thaw := w.pause()
	w.reload(`"max-attempts":8`, `"max-attempts":7`)
	w.signal(syscall.SIGTERM)
	c.request(2, "artes", longTimeoutMS, 2, "")
	thaw()
	receive(t, w.cache.calls, "call").answer("served", "-", "two")
	open.answer("served", "-", "one")
	for range 2 {
		if a := receive(t, c.answers, "answer"); a.status != "200" {
			t.Errorf("%+v", a)
		}
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// What was taken before the order to stop is answered before the platform may kill the process, whatever its own deadline and
// though its cache hangs.
func TestTermAnswersWhatWasOpen(t *testing.T) {
	const untilKill, step = 3700 * time.Millisecond, 50 * time.Millisecond
	w := newTestEnv(t)
	w.clock = newManualClock(t)
	w.startWith(w.cache, w.origin)
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, w.cache.calls, "call")
	c.request(2, "registro", longTimeoutMS, 2, "")
	receive(t, w.origin.calls, "call")
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	w.awaitAlive("503")
	for range untilKill/step - 1 {
		w.clock.advance(step)
	}
	statuses := map[uint16]string{}
	for range 2 {
		select {
		case a := <-c.answers:
			statuses[a.id] = a.status
		case <-time.After(time.Second):
		}
	}
	if statuses[1] != "503" && statuses[1] != "502" || statuses[2] != "502" {
		t.Errorf("%v", statuses)
	}
}

// A connection that waits to be accepted while descriptors are missing is let in after SIGTERM too, as soon as there are some.
func TestWaitingConnectionThoughAcceptFails(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	w.extraEnv = []string{syscallFaultsEnv + "=accept:ENFILE:2-60"} // one every 20 ms: longer than the socket stays open for others
	w.startWith(w.cache, w.origin)
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// A process that has no list yet ends in good order too.
func TestTermWhileStarting(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.start()
	w.awaitAlive("503")
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	if a := receive(t, c.answers, "answer"); a.status != "503" {
		t.Errorf("%+v", a)
	}
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
}
