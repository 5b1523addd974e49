package main

import (
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A process that takes over serves on the socket that the platform holds. The old one lets nothing in any more once
// it is told to stop, answers what it has taken and ends; what waits in the socket's queue is not lost.
func TestReplacingTheProcess(t *testing.T) {
	w := newTestEnv(t)
	held := listen(t).(*net.TCPListener)
	socket, err := held.File()
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, socket)
	w.heldSocket = socket
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.addr = held.Addr().String()
	w.awaitAlive("200")
	kept := w.dial()
	kept.request(1, "artes", longTimeoutMS, 1, "")
	open := receive(t, w.cache.calls, "call")

	old := w.startReplacement()
	w.eventually("the new process is ready", func() bool {
		conn, err := net.Dial("tcp", w.adminAddr)
		if err == nil {
			closeOnce(t, conn)
		}
		return err == nil && w.readiness() == 200
	})
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for id := range uint16(50) { // the new process alone answers yes, once the old one lets nothing in any more
		c := w.dial()
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
		receive(t, w.cache.calls, "call").answer("served", "-", "new")
		if a := receive(t, c.answers, "answer"); a.body != "new" {
			t.Fatalf("%+v", a)
		}
	}
	open.answer("served", "-", "fine")
	if a := receive(t, kept.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, kept.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
	w.awaitAlive("200")
	if w.metric(operationsMetric("artes", "fulfilled")) < 1 {
		t.Error("the new process has served nothing")
	}
}

// What waited in the held socket's queue before the process was started has waited for as long.
func TestRequestFromBeforeTheStart(t *testing.T) {
	w := newTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	held := listen(t).(*net.TCPListener)
	socket, err := held.File()
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, socket)
	w.heldSocket, w.addr = socket, held.Addr().String()
	late, inTime := w.dial(), w.dial()
	late.request(1, "artes", 500, 1, "")
	inTime.request(2, "artes", longTimeoutMS, 2, "")
	time.Sleep(600 * time.Millisecond) // not a race: it is by this that the first one's time is over
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	if a := receive(t, late.answers, "refusal"); a.status != "503" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, inTime.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

func TestBadListenDescriptor(t *testing.T) {
	for _, fd := range []string{"x", "-1", "9"} {
		w := newTestEnv(t)
		w.start()
		cmd := exec.Command(w.cmd.Path)
		cmd.Env = append(w.cmd.Env, "BALANCER_LISTEN_FD="+fd)
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "escriptor") {
			t.Errorf("%s: %v %q", fd, err, out)
		}
	}
}
