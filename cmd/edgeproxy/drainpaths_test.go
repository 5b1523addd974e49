package main

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// pastDrainTimeLimit is the time after the start of a drain at which every connection of before is closed or closing.
const pastDrainTimeLimit = 3300 * time.Millisecond

// startDrain tells the program to drain, and returns when.
func (env *testEnv) startDrain() (startedAt time.Time) {
	env.t.Helper()
	startedAt = time.Now()
	if status, _ := env.adminCall("PUT", "/ops/drain/start"); status != 200 {
		env.t.Fatalf("drain/start answered %d", status)
	}
	return startedAt
}

// TestDrainAnswersWhatItHasRead guards against a time limit that loses requests: an open call, a blocked request and the
// answers of a client that reads nothing for 3.3 s are all answered, and the end of the connection follows.
func TestDrainAnswersWhatItHasRead(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	conn, _ := newUnreadingClient(env) // request 99 is open at the cache and never answered
	(&client{Conn: conn}).request(100, "artes", longTimeoutMS, 100, "")
	startedAt := env.startDrain()
	time.Sleep(time.Until(startedAt.Add(pastDrainTimeLimit)))
	c := newClient(conn)
	bodies := map[uint16]int{}
	for a := receive(t, c.answers, "answer"); a.id != 0; a = receive(t, c.answers, "answer") {
		bodies[a.id] = len(a.body)
		if a.id >= 99 && a.status != "503" {
			t.Errorf("request %d: got status %s, want 503", a.id, a.status)
		}
	}
	for id := range uint16(31) {
		if bodies[id+1] != 240_000 {
			t.Errorf("request %d: got %d bytes, want 240,000", id+1, bodies[id+1])
		}
	}
	if _, answered := bodies[99]; !answered || len(bodies) != 33 {
		t.Errorf("got %d answers, to the open call: %v, want 33 with it", len(bodies), answered)
	}
}

// TestConnectionDuringADrainEnds guards against connections that clients open during a drain and that are then held: each
// gets the answer to its first request, or time for it, and its end.
func TestConnectionDuringADrainEnds(t *testing.T) {
	t.Parallel()
	const longestOpen = 600 * time.Millisecond // the time for a first request, 0.25 s, and the machine's delays
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	startedAt := env.startDrain()
	for _, after := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 2900 * time.Millisecond, pastDrainTimeLimit} {
		time.Sleep(time.Until(startedAt.Add(after)))
		openedAt := time.Now()
		asking, silent := env.dial(), env.dial()
		time.Sleep(20 * time.Millisecond)
		asking.request(1, "artes", longTimeoutMS, 1, "")
		if a := receive(t, asking.answers, "answer"); a.id != 1 {
			t.Errorf("opened %v after the start: got answer %+v, want one to request 1", after, a)
		}
		for _, c := range []*client{asking, silent} {
			if a := receive(t, c.answers, "close"); a.id != 0 {
				t.Errorf("got answer %+v, want the close of the connection", a)
			}
		}
		if open := time.Since(openedAt); open > longestOpen {
			t.Errorf("opened %v after the start: open for %v", after, open)
		}
	}
}

// TestSecondDrainEndsEveryConnection guards against what a first drain leaves behind: drain, stop and drain again, with
// clients that never stop sending.
func TestSecondDrainEndsEveryConnection(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	clients := env.startHabits(steadyHabits())
	env.startDrain()
	time.Sleep(200 * time.Millisecond) // before the first connection is closed
	if status, _ := env.adminCall("PUT", "/ops/drain/stop"); status != 200 || env.readiness() != 200 {
		t.Fatal("still draining")
	}
	time.Sleep(timeInUse)
	for _, c := range clients {
		select {
		case <-c.done:
			t.Errorf("%s: the connection ended though the drain was stopped", c.name)
		default:
		}
	}
	startedAt := env.startDrain()
	checkEnds(t, clients, startedAt, startedAt.Add(drainLimit))
}

// TestSigtermDuringADrainPutsNothingOff guards against a SIGTERM that gives clients more time than the drain before it had
// left.
func TestSigtermDuringADrainPutsNothingOff(t *testing.T) {
	t.Parallel()
	const sigtermAfter = 2 * time.Second
	env := startTestEnv(t)
	clients := env.startHabits(steadyHabits())
	startedAt := env.startDrain()
	time.Sleep(time.Until(startedAt.Add(sigtermAfter)))
	env.signal(syscall.SIGTERM)
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
	if took := time.Since(startedAt); took > drainLimit {
		t.Errorf("exited %v after the start of the drain, want at most %v", took, drainLimit)
	}
	checkEnds(t, clients, startedAt, startedAt.Add(drainLimit))
}

// TestTakeoverEndsWhileClientsSend guards against a process that its successor replaces and that its clients keep from its
// exit.
func TestTakeoverEndsWhileClientsSend(t *testing.T) {
	t.Parallel()
	const deadline = 800 * time.Millisecond
	env := newTestEnv(t)
	env.classDeadline = deadline
	env.startOnInheritedSocket()
	clients := env.startHabits(steadyHabits())
	oldCmd := env.startReplacement()
	env.awaitReplacementReady()
	signalledAt := time.Now()
	if err := oldCmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-env.exited:
		t.Logf("exited after %v: %v", time.Since(signalledAt), err)
	case <-time.After(deadline + killDelay):
		t.Error("the process had to be killed")
		oldCmd.Process.Kill() //nolint:errcheck // it may have exited
	}
	checkEnds(t, clients, signalledAt, time.Now().Add(time.Second))
}

// TestSigtermWhileClientsConnect guards against connections that the system accepted and that end unanswered with the
// listening socket: clients connect, ask once and connect again until the exit.
func TestSigtermWhileClientsConnect(t *testing.T) {
	t.Parallel()
	const connectInterval, connectTime = 3 * time.Millisecond, 600 * time.Millisecond // as long as requests come, by the protocol
	env := newTestEnv(t)
	env.classDeadline = 300 * time.Millisecond
	env.startWith(env.cache.Addr(), env.origin.Addr())
	env.cache.answerAll("served", "-", "fine")
	half, err := net.Dial("tcp", env.adminAddr) // an operator's call that is never complete
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, half)
	mustWrite(t, half, "GET /ops/sta")
	signalledAt := time.Now()
	env.signal(syscall.SIGTERM)
	var clients []*client
	for time.Since(signalledAt) < connectTime {
		conn, err := net.Dial("tcp", env.addr)
		if err != nil {
			break // the program listens no more
		}
		c := newClient(conn)
		c.request(1, "artes", longTimeoutMS, 1, "")
		clients = append(clients, c)
		time.Sleep(connectInterval)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
	if took, limit := time.Since(signalledAt), env.classDeadline+killDelay; took > limit {
		t.Errorf("exited %v after SIGTERM, want at most %v", took, limit)
	}
	unanswered := 0
	for _, c := range clients {
		if a := receive(t, c.answers, "answer"); a.id != 1 {
			unanswered++
		}
		closeOnce(t, c)
	}
	if unanswered > 0 {
		t.Errorf("%d of %d connections ended without an answer", unanswered, len(clients))
	}
	t.Logf("%d connections", len(clients))
}

// TestSlowReaderAtAShortShutdown guards against an exit that cuts off what a client has yet to read, while others go on
// sending to the process: the client begins to read when the time of its connection is over, and gets all of its answers.
// The process exits before the kill nevertheless.
func TestSlowReaderAtAShortShutdown(t *testing.T) {
	t.Parallel()
	const (
		readsAfter   = 750 * time.Millisecond // of SIGTERM; connections are closed from 700 ms on
		sendInterval = 10 * time.Millisecond
	)
	env := newTestEnv(t)
	env.classDeadline = 300 * time.Millisecond
	env.startWith(env.cache.Addr(), env.origin.Addr())
	conn, inFlight := newUnreadingClient(env)
	inFlight.answer("served", "-", "last")
	sender := env.dial()
	signalledAt := time.Now()
	env.signal(syscall.SIGTERM)
	go func() { // it goes on until it sees the end
		for id := range uint16(100) {
			sender.request(id+1, "registro", longTimeoutMS, int(id), "")
			time.Sleep(sendInterval)
		}
	}()
	time.Sleep(time.Until(signalledAt.Add(readsAfter)))
	c := newClient(conn)
	answers := 0
	for a := receive(t, c.answers, "answer"); a.id != 0; a = receive(t, c.answers, "answer") {
		answers++
		if a.status != "200" || a.id != 99 && !strings.HasPrefix(a.body, "xxx") {
			t.Errorf("answer %d: got status %s and %d bytes", a.id, a.status, len(a.body))
		}
	}
	if answers != 32 {
		t.Errorf("got %d answers, want 32", answers)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
	if took, limit := time.Since(signalledAt), env.classDeadline+killDelay; took > limit {
		t.Errorf("exited %v after SIGTERM, want at most %v", took, limit)
	}
}

// TestSlowReaderOfLateAnswersAtADrain guards against requests thrown away once a drain closes connections (review/10): a
// client that reads 0.9 MB a second has the answers of slow caches on their way then, and goes on sending while it reads
// them.
func TestSlowReaderOfLateAnswersAtADrain(t *testing.T) {
	t.Parallel()
	const (
		lateAnswers     = 16
		lateAnswerBytes = 60_000
		answeredAfter   = 2700 * time.Millisecond // of the start of the drain
	)
	env := startTestEnv(t)
	startedAt := make(chan time.Time, lateAnswers)
	late := strings.Repeat("x", lateAnswerBytes)
	go func() {
		for call := range env.cache.calls {
			if object, err := strconv.ParseInt(call.fields["k"], 16, 64); err != nil || object > lateAnswers {
				call.answer("served", "-", "short")
				continue
			}
			go func() {
				time.Sleep(time.Until((<-startedAt).Add(answeredAfter)))
				call.answer("served", "-", late)
			}()
		}
	}()
	c := env.startHabit(habit{
		name: "0.9 MB/s, 16 late answers, a request every 0.1 s", readRate: 900_000,
		interval: 100 * time.Millisecond, outstanding: lateAnswers,
	})
	time.Sleep(timeInUse)
	orderedAt := env.startDrain()
	for range lateAnswers {
		startedAt <- orderedAt
	}
	checkEnds(t, []*habitClient{c}, orderedAt, orderedAt.Add(drainLimit))
}
