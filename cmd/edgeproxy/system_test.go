package main

import (
	"syscall"
	"testing"
)

// A call of which its server takes only a part never runs. It is given up before the deadline that it tells is too late, and
// may be sent again, also where it must not run twice.
func TestHalfWrittenCallIsSentAgain(t *testing.T) {
	w := newTestEnv(t)
	w.extraEnv = []string{syscallFaultsEnv + "=halfwrite:registro"}
	w.startWith(w.cache, w.origin)
	c := w.dial()
	c.request(1, "registro", 2000, 1, "x")
	receive(t, w.origin.calls, "whole call").answer("served", "-", "written")
	if a := receive(t, c.answers, "answer"); a.body != "written" {
		t.Errorf("%+v", a)
	}
	if len(w.origin.calls) != 0 {
		t.Error("it ran twice")
	}
}

// That this machine has no descriptor or port left says nothing of a server: none is suspected.
func TestLocalFailureSuspectsNobody(t *testing.T) {
	for _, failure := range []string{"socket:ENFILE:4-40", "socket:ENOBUFS:4-40", "connect:EADDRNOTAVAIL:2-40"} {
		w := newTestEnv(t)
		w.cache.answerAll("served", "-", "fine")
		w.extraEnv = []string{syscallFaultsEnv + "=" + failure}
		w.startWith(w.cache, w.origin)
		receive(t, w.followLines, "follow")
		c := w.dial()
		c.request(1, "artes", longTimeoutMS, 1, "")
		if a := receive(t, c.answers, "refusal"); a.status != "503" {
			t.Errorf("%s: %+v", failure, a)
		}
		if n := w.metric("svc_out_of_rotation"); n != 0 {
			t.Errorf("%s: %d servers are suspected", failure, n)
		}
		w.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // the next one is another program
	}
}
