package main

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestShutdownAnswersAllRequests checks that all requests before and during a graceful shutdown are answered, and that
// the program exits by itself.
func TestShutdownAnswersAllRequests(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	firstCall := receive(t, env.cache.calls, "call")
	if err := env.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	env.awaitAliveStatus("503")
	lateClient := env.dial()
	lateClient.request(1, "artes", longTimeoutMS, 2, "")
	secondCall := receive(t, env.cache.calls, "call")
	env.eventually("connections are refused", func() bool {
		conn, err := net.Dial("tcp", env.addr)
		if err == nil {
			closeOnce(t, conn)
		}
		return err != nil
	})
	firstCall.answer("served", "-", "one")
	secondCall.answer("served", "-", "two")
	a := receive(t, c.answers, "answer")
	if a.body != "one" {
		t.Errorf(`got answer %+v, want body "one"`, a)
	}
	a = receive(t, lateClient.answers, "answer")
	if a.body != "two" {
		t.Errorf(`got answer %+v, want body "two"`, a)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// TestShutdownEndsBeforeTheKill checks that a request that arrives during the shutdown is answered before the platform
// may kill the process, however late the request's deadline is.
func TestShutdownEndsBeforeTheKill(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, env.cache.calls, "call").answer("served", "-", "one")
	receive(t, c.answers, "answer")
	if err := env.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	env.awaitAliveStatus("503")
	c.request(2, "registro", longTimeoutMS, 2, "")
	receive(t, env.origin.calls, "call")
	a := receive(t, c.answers, "answer")
	if a.id != 2 || a.status != "502" {
		t.Errorf("got answer %+v, want ID 2 and status 502", a)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// TestIncompleteRequestAtShutdown checks that the program waits for the rest of a request of which only a part has
// arrived at SIGTERM, and answers it.
func TestIncompleteRequestAtShutdown(t *testing.T) {
	for _, part := range []int{3, 16, 60} { // bytes: within the first header, just BEGIN_REQUEST, and within the parameters
		env := startTestEnv(t)
		env.cache.answerAll("served", "-", "fine")
		c := env.dial()
		c.request(1, "artes", longTimeoutMS, 1, "")
		receive(t, c.answers, "answer")
		out := &bufferedConn{Conn: c.Conn}
		(&client{Conn: out}).request(2, "artes", longTimeoutMS, 2, "")
		rest := out.buffer[part:]
		out.buffer = out.buffer[:part]
		out.flush()
		env.signal(syscall.SIGTERM)
		env.awaitAliveStatus("503")
		env.awaitNotListening()
		c.Write(rest) //nolint:errcheck // a lost connection shows in the answers
		a := receive(t, c.answers, "answer")
		if a.id != 2 || a.body != "fine" && a.status != "503" {
			t.Errorf("%d bytes before SIGTERM: got answer %+v, want ID 2 and a served or rejected request", part, a)
		}
		if err := receive(t, env.exited, "exit"); err != nil {
			t.Error(err)
		}
	}
}

// TestQueuedConnectionAtShutdown checks that connections in the accept queue are accepted when the program stops
// listening.
func TestQueuedConnectionAtShutdown(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	env.signal(syscall.SIGTERM)
	env.awaitAliveStatus("503")
	resume := env.pause()
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	time.Sleep(time.Second) // not a race: when the program resumes, the time for which it goes on listening is over
	resume()
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
}

// TestSlowReaderAtShutdown checks that a client that reads slowly gets all its answers during the shutdown.
func TestSlowReaderAtShutdown(t *testing.T) {
	env := startTestEnv(t)
	conn, inFlight := newUnreadingClient(env)
	inFlight.answer("served", "-", "last")
	env.signal(syscall.SIGTERM)
	env.awaitAliveStatus("503")
	env.awaitNotListening()
	c := newClient(conn)
	for range 32 {
		a := receive(t, c.answers, "answer")
		if a.status != "200" || a.id != 99 && len(a.body) != 240_000 {
			t.Errorf("answer %d: got status %s and %d bytes, want 200 and, except for ID 99, 240,000", a.id, a.status, len(a.body))
		}
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// TestReloadThenStop checks that requests in flight are answered and the program exits without an error if SIGHUP and
// SIGTERM arrive together.
func TestReloadThenStop(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	openCall := receive(t, env.cache.calls, "call")
	resume := env.pause()
	env.reload(`"max-attempts":8`, `"max-attempts":7`)
	env.signal(syscall.SIGTERM)
	c.request(2, "artes", longTimeoutMS, 2, "")
	resume()
	receive(t, env.cache.calls, "call").answer("served", "-", "two")
	openCall.answer("served", "-", "one")
	for range 2 {
		a := receive(t, c.answers, "answer")
		if a.status != "200" {
			t.Errorf("got answer %+v, want status 200", a)
		}
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// TestShutdownAnswersRequestsInFlight checks that requests in flight at SIGTERM whose server hangs are answered before
// the platform may kill the process, however late their deadlines are.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	// untilExit is maxShutdownDeadline plus killGrace minus shutdownExitMargin of package proxy, as the settings of this
	// test have no deadline: the process exits so long before the kill.
	const untilExit, step = 3600 * time.Millisecond, 50 * time.Millisecond
	env := newTestEnv(t)
	env.clock = newManualClock(t)
	env.startWith(env.cache.Addr(), env.origin.Addr())
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, env.cache.calls, "call")
	c.request(2, "registro", longTimeoutMS, 2, "")
	receive(t, env.origin.calls, "call")
	if err := env.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	env.awaitAliveStatus("503")
	for range untilExit/step - 1 {
		env.clock.advance(step)
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
		t.Errorf("got statuses %v by request ID, want 503 or 502 for 1 and 502 for 2", statuses)
	}
}

// TestQueuedConnectionWhenAcceptFails checks that a connection in the accept queue is accepted after SIGTERM once
// descriptors are available again.
func TestQueuedConnectionWhenAcceptFails(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	// One failure every 20 ms: for longer than the listening socket would otherwise stay open.
	env.extraEnv = []string{syscallFaultsEnv + "=accept:ENFILE:2-60"}
	env.startWith(env.cache.Addr(), env.origin.Addr())
	if err := env.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// TestShutdownWhileStarting checks that a process that has no endpoint list yet exits without an error at SIGTERM.
func TestShutdownWhileStarting(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.start()
	env.awaitAliveStatus("503")
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	a := receive(t, c.answers, "answer")
	if a.status != "503" {
		t.Errorf("got answer %+v, want status 503", a)
	}
	if err := env.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}
