package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

func TestStats(t *testing.T) {
	w := startTestEnv(t)
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	open := receive(t, w.cache.calls, "call")
	c.request(2, "registro", longTimeoutMS, 2, "body")
	receive(t, w.origin.calls, "call").answer("crashed", "-", "")
	receive(t, c.answers, "answer")
	c.request(3, "registro", longTimeoutMS, 2, "body")
	receive(t, w.origin.calls, "call").answer("overload", "-", "")
	for range 8 { // an overloaded origin is asked again, until the module refuses
		select {
		case again := <-w.origin.calls:
			again.answer("overload", "-", "")
			continue
		case a := <-c.answers:
			if a.status != "503" {
				t.Errorf("%+v", a)
			}
		case <-time.After(testTimeout):
			t.Fatal("no answer")
		}
		break
	}
	w.checkMetrics(map[string]int{
		operationsMetric("artes", "relayed"): 1, operationsMetric("artes", "fulfilled"): 0, operationsMetric("artes", "throttled"): 0,
		operationsMetric("registro", "faulted"): 1, operationsMetric("registro", "throttled"): 1,
		"svc_open_requests": 1, "svc_registry_entries": 2, "svc_out_of_rotation": 0, "svc_cfg_accepted": 0, "svc_cfg_invalid": 0,
	})
	open.answer("served", "-", "fine")
	receive(t, c.answers, "answer")
	w.checkMetrics(map[string]int{operationsMetric("artes", "fulfilled"): 1, "svc_open_requests": 0})
	c.request(4, "artes", longTimeoutMS, 1, "")
	receive(t, w.cache.calls, "call")
	c.writeRecord(2, 4, "") // its client gives it up
	receive(t, c.answers, "END_REQUEST")
	w.checkMetrics(map[string]int{operationsMetric("artes", "faulted"): 1, "svc_open_requests": 0})
	w.sendEvent(endpointEvent(2, false, endpoint("c1", "std", "edge", "DRAINING", w.cache)))
	w.eventually("one is out of rotation", func() bool { return w.metric("svc_out_of_rotation") == 1 })
}

// Whoever says nothing, or nonsense, at the operators' address keeps nobody else from an answer.
func TestOperatorsAreAnswered(t *testing.T) {
	w := startTestEnv(t)
	for i := range 40 {
		conn, err := net.Dial("tcp", w.adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeOnce(t, conn)
		if i%2 == 0 {
			io.WriteString(conn, "GET /ops/rea") //nolint:errcheck // may be closed by now
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
		if got, _ := w.adminRaw(raw); got != want {
			t.Errorf("%.40q: %d, want %d", raw, got, want)
		}
	}
}

// A drain sends clients away without cutting an answer off, and the proxy comes back from it.
func TestDrain(t *testing.T) {
	w := startTestEnv(t)
	idle, busy := w.dial(), w.dial()
	idle.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "one")
	receive(t, idle.answers, "answer")
	busy.request(1, "registro", longTimeoutMS, 1, "") // of a read a second copy would be sent
	open := receive(t, w.origin.calls, "call")
	if status, _ := w.adminCall("PUT", "/ops/drain/start"); status != 200 || w.readiness() != 503 {
		t.Error("not draining")
	}
	w.awaitAlive("503")
	if a := receive(t, idle.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
	for id := uint16(2); ; id++ { // a connection that is never empty gets refusals in the end
		busy.request(id, "artes", longTimeoutMS, int(id), "")
		select {
		case c := <-w.cache.calls:
			c.answer("served", "-", "more")
			receive(t, busy.answers, "answer")
			continue
		case a := <-busy.answers:
			if a.id != id || a.status != "503" || !strings.Contains(a.headers, "Srv-Wait-Ms: ") {
				t.Errorf("%+v", a)
			}
		}
		break
	}
	open.answer("served", "-", "fine")
	if a := receive(t, busy.answers, "answer"); a.id != 1 || a.body != "fine" {
		t.Errorf("%+v", a)
	}
	if a := receive(t, busy.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
	if status, _ := w.adminCall("PUT", "/ops/drain/stop"); status != 200 || w.readiness() != 200 {
		t.Error("still draining")
	}
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "back")
	if a := receive(t, c.answers, "answer"); a.body != "back" {
		t.Errorf("%+v", a)
	}
}

// A client that reads slowly gets all of its answers, though its connection is closed after the last of them.
func TestSlowReaderGetsItsAnswers(t *testing.T) {
	t.Parallel()
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", strings.Repeat("x", 240_000))
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(mustAddr(t, w.addr)))
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, conn)
	conn.SetReadBuffer(128 << 10) //nolint:errcheck // the machine's own size only makes the test weaker
	asker := &client{Conn: conn}
	for id := range uint16(32) {
		asker.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	w.eventually("answers are ready", func() bool { return w.metric(operationsMetric("artes", "fulfilled")) == 32 })
	w.adminCall("PUT", "/ops/drain/start")
	time.Sleep(time.Second) // it reads nothing, for longer than the close may be waited for
	asker.request(100, "artes", longTimeoutMS, 100, "")
	c := newClient(conn)
	for range 33 {
		if a := receive(t, c.answers, "answer"); len(a.body) != 240_000 && a.id != 100 || a.id == 0 {
			t.Fatalf("%d %s: %d bytes", a.id, a.status, len(a.body))
		}
	}
	if a := receive(t, c.answers, "close"); a.id != 0 {
		t.Errorf("%+v", a)
	}
}
