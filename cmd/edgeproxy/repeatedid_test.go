package main

import (
	"os/exec"
	"syscall"
	"testing"
	"time"
)

const (
	repeatedID = "18ee8a2be1f6a125"
	// pastAnyCall is the time after a request within which its call would have been sent.
	pastAnyCall = 500 * time.Millisecond
)

// write sends a write with the repeated id.
func (c *client) write(fastcgiID uint16) {
	c.request(fastcgiID, "registro", longTimeoutMS, 1, "body", "HTTP_REQ_ID", repeatedID)
}

// checkNoCall checks that no call is sent to the origin, and that a client's request is answered as failed.
func (env *testEnv) checkNoCall(c *client) {
	env.t.Helper()
	answered := false
	for deadline := time.After(pastAnyCall); ; {
		select {
		case a := <-c.answers:
			answered = true
			if a.status != "502" {
				env.t.Errorf("got answer %+v to the repeated id, want status 502", a)
			}
		case call := <-env.origin.calls:
			env.t.Fatalf("a second call with the id was sent: %q", call.args[:3])
		case <-deadline:
			if !answered {
				env.t.Error("no answer to the repeated id")
			}
			return
		}
	}
}

// Guards against a write that runs twice because its id comes again (reported from other deployments): while the first is
// open, after its client has left, and after its answer.
func TestWriteWithARepeatedIDRunsOnce(t *testing.T) {
	for name, first := range map[string]func(env *testEnv){
		"while the first is open": func(env *testEnv) {
			env.dial().write(1)
			receive(env.t, env.origin.calls, "call")
		},
		"after its client has left": func(env *testEnv) {
			c := env.dial()
			c.write(1)
			receive(env.t, env.origin.calls, "call")
			closeOnce(env.t, c)
			time.Sleep(pastDisconnectGrace)
		},
		"after its client has aborted it": func(env *testEnv) {
			c := env.dial()
			c.write(1)
			receive(env.t, env.origin.calls, "call")
			c.writeRecord(recordAbort, 1, "")
			receive(env.t, c.answers, "end of the aborted request")
		},
		"after its answer": func(env *testEnv) {
			c := env.dial()
			c.write(1)
			receive(env.t, env.origin.calls, "call").answer("served", "-", "done")
			receive(env.t, c.answers, "answer")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startTestEnv(t)
			first(env)
			repeating := env.dial()
			repeating.write(1)
			env.checkNoCall(repeating)
		})
	}
}

// Guards against an id that is refused for ever: a write that never ran may come again.
func TestWriteThatNeverRanMayComeAgain(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	c := env.dial()
	c.write(1)
	answered := false
	for !answered {
		select {
		case call := <-env.origin.calls:
			call.answer("overload", "-", "")
		case a := <-c.answers:
			answered = true
			if a.status != "503" {
				t.Fatalf("got answer %+v to a write that never ran, want 503", a)
			}
		case <-time.After(testTimeout):
			t.Fatal("no answer")
		}
	}
	c.write(2)
	receive(t, env.origin.calls, "call").answer("served", "-", "done")
	if a := receive(t, c.answers, "answer"); a.body != "done" {
		t.Errorf("got answer %+v, want the body of the server", a)
	}
}

// Guards against a write that runs twice because its id comes again at the process that takes over (reported from other
// deployments), and at the old one.
func TestRepeatedIDIsKnownAcrossAReplacement(t *testing.T) {
	for name, crossed := range map[string]bool{"from the old process to the new one": false, "from the new process to the old one": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.extraEnv = []string{"TMPDIR=" + t.TempDir()}
			env.startOnInheritedSocket()
			oldClient := env.dial()
			oldClient.request(1, "artes", longTimeoutMS, 1, "")
			receive(t, env.cache.calls, "call").answer("served", "-", "old")
			receive(t, oldClient.answers, "answer")
			oldCmd := env.startReplacement()
			env.awaitReplacementReady()
			newClient := env.dialNewProcess(oldCmd)
			first, second := oldClient, newClient
			if crossed {
				first, second = newClient, oldClient
			}
			first.write(2)
			receive(t, env.origin.calls, "call")
			second.write(3)
			env.checkNoCall(second)
		})
	}
}

// dialNewProcess returns a client whose connection the new process has accepted: the old one is stopped meanwhile.
func (env *testEnv) dialNewProcess(oldCmd *exec.Cmd) *client {
	env.t.Helper()
	resume := env.pauseProcess(oldCmd.Process)
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(env.t, env.cache.calls, "call").answer("served", "-", "new")
	receive(env.t, c.answers, "answer")
	resume()
	return c
}

// Guards against a takeover that fails because the file that both processes share can't be used.
func TestReplacementWithoutASharedFile(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.extraEnv = []string{"TMPDIR=/nonexistent"}
	env.startOnInheritedSocket()
	oldCmd := env.startReplacement()
	env.awaitReplacementReady()
	if err := oldCmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}
