package main

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// At an ordered stop everything that still comes is answered, and the program ends by itself.
func TestTermAnswersEverything(t *testing.T) {
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	first := receive(t, w.cache.calls, "call")
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	w.awaitAlive("503")
	late := w.dial()
	late.ask(1, "artes", longWait, 2, "")
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
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// What is taken while the program stops is answered before it may be killed, however long its client would wait.
func TestTermEndsInTime(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "one")
	receive(t, c.answers, "answer")
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	w.awaitAlive("503")
	c.ask(2, "registro", longWait, 2, "")
	receive(t, w.origin.calls, "call")
	if a := receive(t, c.answers, "answer"); a.id != 2 || a.status != "502" {
		t.Errorf("%+v", a)
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

func (w *world) signal(signals ...os.Signal) {
	w.t.Helper()
	for _, s := range signals {
		if err := w.cmd.Process.Signal(s); err != nil {
			w.t.Fatal(err)
		}
	}
}

// noMoreTaken waits until the program has stopped listening: clients are sent away from then on.
func (w *world) noMoreTaken() {
	w.t.Helper()
	w.eventually("no more connections taken", func() bool {
		conn, err := net.Dial("tcp", w.addr)
		if err == nil {
			closeOnce(w.t, conn)
		}
		return err != nil
	})
}

// A request of which a few bytes have come when the program stops is waited for, and answered.
func TestHalfARequestWhileStopping(t *testing.T) {
	for _, part := range []int{3, 16, 60} { // of a header, just BEGIN_REQUEST, and in the parameters
		w := newWorld(t)
		w.cache.serve("served", "-", "fine")
		c := w.dial()
		c.ask(1, "artes", longWait, 1, "")
		receive(t, c.answers, "answer")
		out := &batch{Conn: c.Conn}
		(&client{Conn: out}).ask(2, "artes", longWait, 2, "")
		rest := out.out[part:]
		out.out = out.out[:part]
		out.flush()
		w.signal(syscall.SIGTERM)
		w.awaitAlive("503")
		w.noMoreTaken()
		c.Write(rest) //nolint:errcheck // shows in the answers
		if a := receive(t, c.answers, "answer"); a.id != 2 || a.body != "fine" && a.status != "503" {
			t.Errorf("%d bytes before the stop: %+v", part, a)
		}
		if err := receive(t, w.exit, "exit"); err != nil {
			t.Error(err)
		}
	}
}

// What waits to be accepted when the program stops listening is still taken.
func TestWaitingConnectionWhileStopping(t *testing.T) {
	w := newWorld(t)
	w.cache.serve("served", "-", "fine")
	w.signal(syscall.SIGTERM)
	w.awaitAlive("503")
	thaw := w.freeze()
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	time.Sleep(time.Second) // not a race: by the time it goes on, it listens no longer
	thaw()
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// A client that reads slowly gets all that it is owed when the program stops.
func TestSlowReaderWhileStopping(t *testing.T) {
	w := newWorld(t)
	conn, out := unreading(w)
	out.answer("served", "-", "last")
	w.signal(syscall.SIGTERM)
	w.awaitAlive("503")
	w.noMoreTaken()
	c := newClient(conn)
	for range 32 {
		if a := receive(t, c.answers, "answer"); a.status != "200" || a.id != 99 && len(a.body) != 240_000 {
			t.Errorf("%d: %s, %d bytes", a.id, a.status, len(a.body))
		}
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// New settings and the order to stop, both at once: what is open is answered, and the program ends in good order.
func TestReloadThenStop(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	open := receive(t, w.cache.calls, "call")
	thaw := w.freeze()
	w.reload(`"max-attempts":8`, `"max-attempts":7`)
	w.signal(syscall.SIGTERM)
	c.ask(2, "artes", longWait, 2, "")
	thaw()
	receive(t, w.cache.calls, "call").answer("served", "-", "two")
	open.answer("served", "-", "one")
	for range 2 {
		if a := receive(t, c.answers, "answer"); a.status != "200" {
			t.Errorf("%+v", a)
		}
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// What was taken before the order to stop is answered before the platform may kill the process, whatever its own deadline and
// though its cache hangs.
func TestTermAnswersWhatWasOpen(t *testing.T) {
	const untilKill, step = 3700 * time.Millisecond, 50 * time.Millisecond
	w := prepare(t)
	w.clock = newSteps(t)
	w.startBehind(w.cache, w.origin)
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	receive(t, w.cache.calls, "call")
	c.ask(2, "registro", longWait, 2, "")
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
	w := prepare(t)
	w.cache.serve("served", "-", "fine")
	w.environment = []string{brokenCalls + "=accept:ENFILE:2-60"} // one every 20 ms: longer than the socket stays open for others
	w.startBehind(w.cache, w.origin)
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// A process that has no list yet ends in good order too.
func TestTermWhileStarting(t *testing.T) {
	t.Parallel()
	w := prepare(t)
	w.start()
	w.awaitAlive("503")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	if a := receive(t, c.answers, "answer"); a.status != "503" {
		t.Errorf("%+v", a)
	}
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}
