package main

import (
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startOnInheritedSocket starts the program on a listening socket that the test has opened, as the platform does.
func (env *testEnv) startOnInheritedSocket() {
	env.t.Helper()
	listener := listen(env.t).(*net.TCPListener)
	socket, err := listener.File()
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { closeOnce(env.t, socket) })
	env.inheritedSocket = socket
	env.start(fullList(env.cache.Addr(), env.origin.Addr()))
	env.addr = listener.Addr().String()
	env.awaitAliveStatus("200")
}

// awaitReplacementReady waits until the process that startReplacement has started is ready to serve.
func (env *testEnv) awaitReplacementReady() {
	env.t.Helper()
	env.eventually("the new process is ready", func() bool {
		conn, err := net.Dial("tcp", env.adminAddr)
		if err == nil {
			closeOnce(env.t, conn)
		}
		return err == nil && env.readiness() == 200
	})
}

// TestReplacingTheProcess checks a replacement on an inherited socket: at SIGTERM, the old process stops accepting
// connections, answers the requests on those that it has accepted and exits. No connection in the accept queue is
// lost.
func TestReplacingTheProcess(t *testing.T) {
	env := newTestEnv(t)
	env.startOnInheritedSocket()
	oldClient := env.dial()
	oldClient.request(1, "artes", longTimeoutMS, 1, "")
	openCall := receive(t, env.cache.calls, "call")

	oldCmd := env.startReplacement()
	env.awaitReplacementReady()
	if err := oldCmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for id := range uint16(50) { // once the old process stops accepting, only the new one accepts connections
		c := env.dial()
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
		receive(t, env.cache.calls, "call").answer("served", "-", "new")
		a := receive(t, c.answers, "answer")
		if a.body != "new" {
			t.Fatalf(`got answer %+v, want body "new"`, a)
		}
	}
	openCall.answer("served", "-", "fine")
	a := receive(t, oldClient.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
	a = receive(t, oldClient.answers, "close")
	if a.id != 0 {
		t.Errorf("got answer %+v, want the close of the connection", a)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
	env.awaitAliveStatus("200")
	if env.metric(operationsMetric("artes", "fulfilled")) < 1 {
		t.Error("the new process has served nothing")
	}
}

// TestRequestQueuedBeforeTheStart checks that the time that a request waits in the accept queue of the inherited
// socket before the start counts against its deadline.
func TestRequestQueuedBeforeTheStart(t *testing.T) {
	env := newTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	listener := listen(t).(*net.TCPListener)
	socket, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, socket)
	env.inheritedSocket = socket
	env.addr = listener.Addr().String()
	lateClient := env.dial()
	inTimeClient := env.dial()
	lateClient.request(1, "artes", 500, 1, "")
	inTimeClient.request(2, "artes", longTimeoutMS, 2, "")
	time.Sleep(600 * time.Millisecond) // not a race: the deadline of request 1 has passed
	env.start(fullList(env.cache.Addr(), env.origin.Addr()))
	a := receive(t, lateClient.answers, "rejection")
	if a.status != "503" {
		t.Errorf("got answer %+v, want status 503", a)
	}
	a = receive(t, inTimeClient.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
}

// TestInvalidListenDescriptor checks that an invalid descriptor of the inherited socket ends the program with an error
// of one line.
func TestInvalidListenDescriptor(t *testing.T) {
	for _, fd := range []string{"x", "-1", "9"} {
		env := newTestEnv(t)
		env.start()
		cmd := exec.Command(env.cmd.Path)
		cmd.Env = append(env.cmd.Env, "BALANCER_LISTEN_FD="+fd)
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "escriptor") {
			t.Errorf("BALANCER_LISTEN_FD=%s: got error %v, output %q, want an error of one line about the descriptor", fd, err, out)
		}
	}
}

// TestReplacementServesAllClients guards against clients that are turned away because two processes share the limit of
// descriptors. All clients together hold at most a third of the limit: each process accepts that many, and both
// processes together stay within the limit.
func TestReplacementServesAllClients(t *testing.T) {
	const clientConns = testSockets / 3
	env := newTestEnv(t)
	env.startOnInheritedSocket()
	env.cache.answerAll("served", "-", "fine")
	oldCmd := env.startReplacement()
	env.awaitReplacementReady()
	resume := env.pauseProcess(oldCmd.Process) // only the new process accepts the clients
	var clients []*client
	for range clientConns {
		c := env.dial()
		c.request(1, "artes", longTimeoutMS, 1, "")
		a := receive(t, c.answers, "answer")
		if a.body != "fine" {
			t.Fatalf(`client %d: got answer %+v, want body "fine"`, len(clients), a)
		}
		clients = append(clients, c)
	}
	descriptors := env.countDescriptors(oldCmd.Process.Pid) + env.countDescriptors(env.cmd.Process.Pid)
	if descriptors > testSockets {
		t.Errorf("both processes hold %d descriptors, the limit is %d", descriptors, testSockets)
	}
	resume()
	clients[0].request(2, "artes", longTimeoutMS, 1, "")
	if a := receive(t, clients[0].answers, "answer on the first connection"); a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
}
