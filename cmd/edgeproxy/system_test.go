package main

import (
	"syscall"
	"testing"
)

// TestPartlyWrittenCallIsRetried checks that a call of which the server accepts only a part is cancelled in time for a
// retry, also if it is not idempotent: an incomplete call is never executed.
func TestPartlyWrittenCallIsRetried(t *testing.T) {
	env := newTestEnv(t)
	env.extraEnv = []string{syscallFaultsEnv + "=halfwrite:registro"}
	env.startWith(env.cache.Addr(), env.origin.Addr())
	c := env.dial()
	c.request(1, "registro", 2000, 1, "x")
	receive(t, env.origin.calls, "complete call").answer("served", "-", "written")
	a := receive(t, c.answers, "answer")
	if a.body != "written" {
		t.Errorf(`got answer %+v, want body "written"`, a)
	}
	if len(env.origin.calls) != 0 {
		t.Error("the call was executed twice")
	}
}

// TestLocalFailureEjectsNoServer checks that a lack of local descriptors, buffers or ports does not eject a server.
func TestLocalFailureEjectsNoServer(t *testing.T) {
	for _, failure := range []string{"socket:ENFILE:4-40", "socket:ENOBUFS:4-40", "connect:EADDRNOTAVAIL:2-40"} {
		env := newTestEnv(t)
		env.cache.answerAll("served", "-", "fine")
		env.extraEnv = []string{syscallFaultsEnv + "=" + failure}
		env.startWith(env.cache.Addr(), env.origin.Addr())
		receive(t, env.followLines, "follow")
		c := env.dial()
		c.request(1, "artes", longTimeoutMS, 1, "")
		a := receive(t, c.answers, "rejection")
		if a.status != "503" {
			t.Errorf("%s: got answer %+v, want status 503", failure, a)
		}
		n := env.metric("svc_out_of_rotation")
		if n != 0 {
			t.Errorf("%s: %d servers are ejected, want none", failure, n)
		}
		env.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // the next case starts another process
	}
}
