package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// client is one FastCGI connection.
type client struct {
	net.Conn
	answers chan answer
}

// answer is a whole answer, or the end of the connection when id is 0.
type answer struct {
	id           uint16
	status, body string
	headers      string
	protocol     byte // the protocol's status
}

func (w *testEnv) dial() *client {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { closeOnce(w.t, conn) })
	return newClient(conn)
}

func newClient(conn net.Conn) *client {
	c := &client{conn, make(chan answer, 1000)}
	go c.readAnswers()
	return c
}

func (c *client) readAnswers() {
	defer func() { c.answers <- answer{} }()
	texts := map[uint16]string{}
	for {
		var head [8]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		id, content := binary.BigEndian.Uint16(head[2:]), make([]byte, binary.BigEndian.Uint16(head[4:])+uint16(head[6]))
		if _, err := io.ReadFull(c, content); err != nil {
			return
		}
		if head[1] == 6 {
			texts[id] += string(content)
		}
		if head[1] == 3 {
			top, body, _ := strings.Cut(texts[id], "\r\n\r\n")
			status, headers, _ := strings.Cut(strings.TrimPrefix(top, "Status: "), "\r\n")
			c.answers <- answer{id: id, status: status, headers: headers, body: body, protocol: content[4]}
			delete(texts, id)
		}
	}
}

func (c *client) writeRecord(kind byte, id uint16, content string) {
	head := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 0, 0}
	c.Write(append(head, content...)) //nolint:errcheck // a lost connection shows in the answers
}

func (c *client) writeRequest(id uint16, params map[string]string, body string) {
	c.writeRecord(1, id, "\x00\x01\x01\x00\x00\x00\x00\x00")
	var pairs []byte
	for name, value := range params {
		pairs = append(append(append(pairs, byte(len(name)), byte(len(value))), name...), value...)
	}
	c.writeRecord(4, id, string(pairs))
	c.writeRecord(4, id, "")
	if body != "" {
		c.writeRecord(5, id, body)
	}
	c.writeRecord(5, id, "")
}

// request sends a request for an object that is named by number; extra fields come in pairs.
func (c *client) request(id uint16, class string, wait int, object int, body string, extra ...string) {
	params := map[string]string{
		"SCRIPT_NAME": "/ops/" + class, "HTTP_REQ_ID": fmt.Sprintf("%016x", time.Now().UnixNano()), "HTTP_REQ_WAIT_MS": strconv.Itoa(wait),
		"HTTP_REQ_KEY": fmt.Sprintf("%016x", object), "HTTP_X_PIECE": "3", "HTTP_X_LOT": "17",
	}
	for i := 0; i < len(extra); i += 2 {
		params[extra[i]] = extra[i+1]
	}
	c.writeRequest(id, params, body)
}

// bufferedConn is a connection whose output goes out in one write.
type bufferedConn struct {
	net.Conn
	buffer []byte
}

func (b *bufferedConn) Write(data []byte) (int, error) {
	b.buffer = append(b.buffer, data...)
	return len(data), nil
}

func (b *bufferedConn) flush() {
	b.Conn.Write(b.buffer) //nolint:errcheck // a lost connection shows in the answers
	b.buffer = nil
}

// longTimeoutMS is how long a client waits, in milliseconds, where its time must not run out.
const longTimeoutMS = 60_000

func (c *client) closeWrite() { c.Conn.(*net.TCPConn).CloseWrite() } //nolint:errcheck // shows in the answers

// newUnreadingClient returns a client that has left over 1 MB of answers unread, and of which one request, number 99, is out at
// the cache.
func newUnreadingClient(w *testEnv) (stuck net.Conn, out *receivedCall) {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { closeOnce(w.t, conn) })
	c := &client{Conn: conn}
	c.request(99, "artes", longTimeoutMS, 99, "")
	out = receive(w.t, w.cache.calls, "call")
	for id := range uint16(31) { // 7.4 MB: over what the system takes for both ends
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	for range 31 {
		receive(w.t, w.cache.calls, "call").answer("served", "-", strings.Repeat("x", 240_000))
	}
	w.eventually("all others are answered", func() bool { return w.metric("svc_open_requests") == 1 })
	return conn, out
}

// overCancelGrace is more than the operators allow between a client's end and an attempt for it.
const overCancelGrace = 150 * time.Millisecond
