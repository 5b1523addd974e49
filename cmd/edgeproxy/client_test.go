package main

import (
	"strings"
	"testing"
	"time"
)

// TestMalformedClients checks that malformed records close the connection, and that a request with a malformed
// parameter gets status 400.
func TestMalformedClients(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	for _, input := range []string{
		"GET / HTTP/1.1\r\n\r\n",
		"\x01\x01\x00\x01\x00\x00\x00\x00",
		"\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00" +
			"\x01\x04\x00\x01\x00\x03\x00\x00\xff\xff\xff\x01\x04\x00\x01\x00\x00\x00\x00",
	} {
		c := env.dial()
		mustWrite(t, c, input)
		a := receive(t, c.answers, "close")
		if a.id != 0 {
			t.Errorf("%q: got answer %+v, want the close of the connection", input, a)
		}
	}
	c := env.dial()
	for i, extra := range [][]string{
		{"HTTP_REQ_ID", "a,b=c"}, {"HTTP_REQ_WAIT_MS", "soon"}, {"HTTP_X_PIECE", "-1"}, {"HTTP_X_LOT", "256"},
		{"HTTP_REQ_KB", "large"}, {"HTTP_REQ_KB", "NaN"}, {"HTTP_REQ_KEY", ""}, {"SCRIPT_NAME", "/ops/none"}, {"SCRIPT_NAME", "/"},
	} {
		c.request(uint16(i+1), "artes", longTimeoutMS, 1, "", extra...)
		a := receive(t, c.answers, "answer")
		if a.status != "400" {
			t.Errorf("%v: got answer %+v, want status 400", extra, a)
		}
	}
	c.request(1, "artes", longTimeoutMS, 1, "")
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
}

// TestCompleteRequestBeforeAMalformedRecord checks that a complete request is answered although a malformed
// record follows on its connection.
func TestCompleteRequestBeforeAMalformedRecord(t *testing.T) {
	env := startTestEnv(t)
	for name, rest := range map[string]string{
		"version":         "GET / HTTP/1.1\r\n\r\n",
		"begun twice":     "\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00",
		"length of BEGIN": "\x01\x01\x00\x09\x00\x00\x00\x00",
	} {
		c := env.dial()
		out := &bufferedConn{Conn: c.Conn}
		(&client{Conn: out}).request(1, "registro", longTimeoutMS, 1, "x")
		(&client{Conn: out}).request(2, "artes", longTimeoutMS, 1, "")
		out.buffer = append(out.buffer, rest...)
		(&client{Conn: out}).request(3, "artes", longTimeoutMS, 1, "") // follows the malformed record: must not be read
		out.flush()
		receive(t, env.origin.calls, name+": call").answer("served", "-", "written")
		receive(t, env.cache.calls, name+": call").answer("served", "-", "read")
		answers := map[uint16]string{}
		for range 3 {
			a := receive(t, c.answers, name+": answer")
			answers[a.id] = a.body
		}
		if answers[1] != "written" || answers[2] != "read" || len(answers) != 3 || len(env.cache.calls) != 0 {
			t.Errorf("%s: got bodies %v by request ID, or a call for the request behind the malformed record", name, answers)
		}
	}
}

// TestBlockedRequestIsServed checks that a request that waits because its client does not read its answers is
// served once the client reads them.
func TestBlockedRequestIsServed(t *testing.T) {
	env := startTestEnv(t)
	conn, inFlight := newUnreadingClient(env)
	c := &client{conn, make(chan answer, 1000)}
	c.request(100, "artes", longTimeoutMS, 100, "")
	inFlight.answer("served", "-", "out")
	go c.readAnswers()
	for range 32 {
		a := receive(t, c.answers, "answer")
		if a.status != "200" {
			t.Errorf("got answer %+v, want status 200", a)
		}
	}
	receive(t, env.cache.calls, "call").answer("served", "-", "delayed")
	a := receive(t, c.answers, "answer")
	if a.id != 100 || a.body != "delayed" {
		t.Errorf(`got answer %+v, want ID 100 and body "delayed"`, a)
	}
}

// TestNoRetryAfterWhereItIsOff checks that rejections have no header Srv-Wait-Ms if the setting retry-after is off.
func TestNoRetryAfterWhereItIsOff(t *testing.T) {
	env := startTestEnv(t)
	env.reload(`"second-copies":true`, `"retry-after":false,"second-copies":true`)
	env.eventually("the configuration is reloaded", func() bool { return env.metric("svc_cfg_accepted") == 1 })
	closeOnce(t, env.origin)
	c := env.dial()
	c.request(1, "registro", longTimeoutMS, 1, "x")
	a := receive(t, c.answers, "answer")
	if a.status != "503" || strings.Contains(a.headers, "Srv-Wait-Ms") {
		t.Errorf("got answer %+v, want status 503 without Srv-Wait-Ms", a)
	}
}

// TestSlowWriterIsServed checks that a client that writes slowly but steadily is served.
func TestSlowWriterIsServed(t *testing.T) {
	t.Parallel()
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	c := env.dial()
	out := &bufferedConn{Conn: c.Conn}
	(&client{Conn: out}).request(1, "artes", longTimeoutMS, 1, "")
	for begin := time.Now(); len(out.buffer) > 0; time.Sleep(50 * time.Millisecond) { // not a race: sets the pace of the client
		n := 1
		if time.Since(begin) > 3*time.Second {
			n = len(out.buffer)
		}
		c.Write(out.buffer[:n]) //nolint:errcheck // a lost connection shows in the answers
		out.buffer = out.buffer[n:]
	}
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
}
