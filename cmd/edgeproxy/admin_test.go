package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestStats checks the metrics after requests with different outcomes and after an event of the coordinator.
func TestStats(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	openCall := receive(t, env.cache.calls, "call")
	c.request(2, "registro", longTimeoutMS, 2, "body")
	receive(t, env.origin.calls, "call").answer("crashed", "-", "")
	receive(t, c.answers, "answer")
	c.request(3, "registro", longTimeoutMS, 2, "body")
	receive(t, env.origin.calls, "call").answer("overload", "-", "")
	for range 8 { // an overloaded origin is tried again until the request is rejected
		select {
		case again := <-env.origin.calls:
			again.answer("overload", "-", "")
			continue
		case a := <-c.answers:
			if a.status != "503" {
				t.Errorf("got answer %+v, want status 503", a)
			}
		case <-time.After(testTimeout):
			t.Fatal("no answer")
		}
		break
	}
	env.checkMetrics(map[string]int{
		operationsMetric("artes", "relayed"): 1, operationsMetric("artes", "fulfilled"): 0, operationsMetric("artes", "throttled"): 0,
		operationsMetric("registro", "faulted"): 1, operationsMetric("registro", "throttled"): 1,
		"svc_open_requests": 1, "svc_registry_entries": 2, "svc_out_of_rotation": 0, "svc_cfg_accepted": 0, "svc_cfg_invalid": 0,
	})
	openCall.answer("served", "-", "fine")
	receive(t, c.answers, "answer")
	env.checkMetrics(map[string]int{operationsMetric("artes", "fulfilled"): 1, "svc_open_requests": 0})
	c.request(4, "artes", longTimeoutMS, 1, "")
	receive(t, env.cache.calls, "call")
	c.writeRecord(recordAbort, 4, "") // the client aborts its request
	receive(t, c.answers, "END_REQUEST")
	env.checkMetrics(map[string]int{operationsMetric("artes", "faulted"): 1, "svc_open_requests": 0})
	env.sendEvent(endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", env.cache.Addr())))
	env.eventually("a server is out of rotation", func() bool { return env.metric("svc_out_of_rotation") == 1 })
}

// TestOperatorsAreAnswered checks that admin calls are answered while other connections to the admin address are
// idle or have sent only a part of a call, and that malformed and unknown calls get an error status.
func TestOperatorsAreAnswered(t *testing.T) {
	env := startTestEnv(t)
	for i := range 40 {
		conn, err := net.Dial("tcp", env.adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeOnce(t, conn)
		if i%2 == 0 {
			io.WriteString(conn, "GET /ops/rea") //nolint:errcheck // the program may have closed it
		}
	}
	for raw, want := range map[string]int{
		"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n":                   200,
		"PUT /ops/drain/stop HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi":      200,
		"PUT /ops/readiness HTTP/1.1\r\n\r\n":                              405,
		"GET /ops/drain/start HTTP/1.1\r\n\r\n":                            405,
		"GET /ops/nothing HTTP/1.1\r\n\r\n":                                404,
		"nonsense\r\n\r\n":                                                 400,
		"GET /ops/stats HTTP/1.1\r\nA: " + strings.Repeat("a", 9000) + "x": 431,
	} {
		got, _ := env.adminRaw(raw)
		if got != want {
			t.Errorf("%.40q: got status %d, want %d", raw, got, want)
		}
	}
}

// requestUntilRejected sends reads on a client's connection until one is rejected, and answers the calls of the reads
// before it. Each read is sent as soon as the one before is answered, so that the connection is never idle.
func (env *testEnv) requestUntilRejected(c *client, firstID uint16) {
	env.t.Helper()
	for id := firstID; ; id++ {
		c.request(id, "artes", longTimeoutMS, int(id), "")
		select {
		case call := <-env.cache.calls:
			call.answer("served", "-", "more")
			receive(env.t, c.answers, "answer")
		case a := <-c.answers:
			if a.id != id || a.status != "503" || !strings.Contains(a.headers, "Srv-Wait-Ms: ") {
				env.t.Errorf("got answer %+v, want a rejection with status 503 and Srv-Wait-Ms", a)
			}
			return
		}
	}
}

// TestDrain checks that a drain closes connections without cutting answers off, and that the proxy serves again
// once the drain is stopped.
func TestDrain(t *testing.T) {
	env := startTestEnv(t)
	idleClient := env.dial()
	busyClient := env.dial()
	idleClient.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, env.cache.calls, "call").answer("served", "-", "one")
	receive(t, idleClient.answers, "answer")
	busyClient.request(1, "registro", longTimeoutMS, 1, "") // a read would be hedged
	openCall := receive(t, env.origin.calls, "call")
	status, _ := env.adminCall("PUT", "/ops/drain/start")
	if status != 200 || env.readiness() != 503 {
		t.Error("not draining")
	}
	env.awaitAliveStatus("503")
	a := receive(t, idleClient.answers, "close")
	if a.id != 0 {
		t.Errorf("got answer %+v, want the close of the connection", a)
	}
	env.requestUntilRejected(busyClient, 2)
	openCall.answer("served", "-", "fine")
	a = receive(t, busyClient.answers, "answer")
	if a.id != 1 || a.body != "fine" {
		t.Errorf(`got answer %+v, want ID 1 and body "fine"`, a)
	}
	a = receive(t, busyClient.answers, "close")
	if a.id != 0 {
		t.Errorf("got answer %+v, want the close of the connection", a)
	}
	status, _ = env.adminCall("PUT", "/ops/drain/stop")
	if status != 200 || env.readiness() != 200 {
		t.Error("still draining")
	}
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, env.cache.calls, "call").answer("served", "-", "back")
	a = receive(t, c.answers, "answer")
	if a.body != "back" {
		t.Errorf(`got answer %+v, want body "back"`, a)
	}
}

// TestSlowReaderGetsItsAnswers checks that a client that reads slowly gets all its answers during a drain, and the
// close of its connection after them.
func TestSlowReaderGetsItsAnswers(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", strings.Repeat("x", 240_000))
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(mustParseAddr(t, env.addr)))
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, conn)
	conn.SetReadBuffer(128 << 10) //nolint:errcheck // with the default size the test is only weaker
	slowClient := &client{Conn: conn}
	for id := range uint16(32) {
		slowClient.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	env.eventually("all answers are ready", func() bool { return env.metric(operationsMetric("artes", "fulfilled")) == 32 })
	env.adminCall("PUT", "/ops/drain/start")
	// Not a race: the client reads nothing for longer than lingerInterval of package eventloop, the shortest time that a
	// closing connection waits for its peer. If that wait began before all output was written, the client would lose the
	// rest of its answers.
	time.Sleep(time.Second)
	slowClient.request(100, "artes", longTimeoutMS, 100, "")
	c := newClient(conn)
	for range 33 {
		a := receive(t, c.answers, "answer")
		if len(a.body) != 240_000 && a.id != 100 || a.id == 0 {
			t.Fatalf("answer %d: got status %s and %d bytes, want 240,000 bytes, or any answer to request 100", a.id, a.status, len(a.body))
		}
	}
	a := receive(t, c.answers, "close")
	if a.id != 0 {
		t.Errorf("got answer %+v, want the close of the connection", a)
	}
}

// TestUnservedRequestsAreCountedByReason guards against answers that appear in no metric: each answer that serves
// nothing is counted under its reason, even if the request was never submitted to the decision module.
func TestUnservedRequestsAreCountedByReason(t *testing.T) {
	env := startTestEnv(t)
	c := env.dial()
	checkCounted := func(wantStatus, reason, class string, params ...string) {
		t.Helper()
		c.request(1, class, longTimeoutMS, 1, "", params...)
		a := receive(t, c.answers, "answer")
		counter := fmt.Sprintf(`svc_not_served{reason=%q}`, reason)
		if a.status != wantStatus || env.metric(counter) != 1 {
			t.Errorf("%s: got answer %+v, counted %d times, want the status of the case, counted once", reason, a, env.metric(counter))
		}
	}
	checkCounted("400", "malformed", "artes", "HTTP_REQ_ID", "nonsense")
	closeOnce(t, env.origin)
	checkCounted("503", "attempts_used", "registro")
	env.sendEvent(endpointEvent(2, false, endpoint("o1", "origin", "hub", "DELETED", env.origin.Addr())))
	env.awaitEventsApplied()
	checkCounted("503", "no_endpoint", "registro")
}
