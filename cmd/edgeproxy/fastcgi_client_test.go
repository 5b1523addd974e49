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

// The record types of FastCGI.
const (
	recordBegin  = 1
	recordAbort  = 2
	recordEnd    = 3
	recordParams = 4
	recordStdin  = 5
	recordStdout = 6
)

// beginKeepConn is the content of BEGIN_REQUEST with the role RESPONDER and the flag KEEP_CONN.
const beginKeepConn = "\x00\x01\x01\x00\x00\x00\x00\x00"

// client is a client with a FastCGI connection to the program.
type client struct {
	net.Conn
	answers chan answer // each answer, and then the end of the connection
}

// answer is a complete answer, or, if id is 0, the end of the connection.
type answer struct {
	id             uint16
	status, body   string
	headers        string
	protocolStatus byte // protocol status of END_REQUEST
}

// dial connects to the program.
func (env *testEnv) dial() *client {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.addr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { closeOnce(env.t, conn) })
	return newClient(conn)
}

// newClient returns a client that reads the answers on a connection.
func newClient(conn net.Conn) *client {
	c := &client{conn, make(chan answer, 1000)}
	go c.readAnswers()
	return c
}

// readAnswers sends each answer to the channel, and a zero answer when the connection ends.
func (c *client) readAnswers() {
	defer func() { c.answers <- answer{} }()
	stdoutByID := map[uint16]string{}
	for {
		var header [8]byte
		if _, err := io.ReadFull(c, header[:]); err != nil {
			return
		}
		id := binary.BigEndian.Uint16(header[2:])
		contentLength := binary.BigEndian.Uint16(header[4:])
		paddingLength := uint16(header[6])
		content := make([]byte, contentLength+paddingLength)
		if _, err := io.ReadFull(c, content); err != nil {
			return
		}
		if header[1] == recordStdout {
			stdoutByID[id] += string(content)
		}
		if header[1] == recordEnd {
			headerBlock, body, _ := strings.Cut(stdoutByID[id], "\r\n\r\n")
			status, headers, _ := strings.Cut(strings.TrimPrefix(headerBlock, "Status: "), "\r\n")
			c.answers <- answer{id: id, status: status, headers: headers, body: body, protocolStatus: content[4]}
			delete(stdoutByID, id)
		}
	}
}

// writeRecord writes one record.
func (c *client) writeRecord(recordType byte, id uint16, content string) {
	header := []byte{1, recordType, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 0, 0}
	c.Write(append(header, content...)) //nolint:errcheck // a lost connection shows in the answers
}

// writeRequest writes all records of a request.
func (c *client) writeRequest(id uint16, params map[string]string, body string) {
	c.writeRecord(recordBegin, id, beginKeepConn)
	var pairs []byte
	for name, value := range params {
		pairs = append(pairs, byte(len(name)), byte(len(value)))
		pairs = append(pairs, name...)
		pairs = append(pairs, value...)
	}
	c.writeRecord(recordParams, id, string(pairs))
	c.writeRecord(recordParams, id, "")
	if body != "" {
		c.writeRecord(recordStdin, id, body)
	}
	c.writeRecord(recordStdin, id, "")
}

// request writes a request for the object whose key is a number. The extra parameters are pairs of name and value,
// and override the others.
func (c *client) request(id uint16, class string, timeoutMS int, object int, body string, extra ...string) {
	params := map[string]string{
		"SCRIPT_NAME": "/ops/" + class, "HTTP_REQ_ID": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"HTTP_REQ_WAIT_MS": strconv.Itoa(timeoutMS), "HTTP_REQ_KEY": fmt.Sprintf("%016x", object), "HTTP_X_PIECE": "3", "HTTP_X_LOT": "17",
	}
	for i := 0; i < len(extra); i += 2 {
		params[extra[i]] = extra[i+1]
	}
	c.writeRequest(id, params, body)
}

// bufferedConn is a connection that buffers its output until flush writes it in one call.
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

// longTimeoutMS is a client's timeout, in milliseconds, that no test reaches.
const longTimeoutMS = 60_000

// closeWrite closes the client's sending direction.
func (c *client) closeWrite() { c.Conn.(*net.TCPConn).CloseWrite() } //nolint:errcheck // a lost connection shows in the answers

// newUnreadingClient returns a client's connection on which more than 1 MB of answers wait unread, so that the program
// blocks further requests on it. It also returns the call of request 99 on it, which is in flight at the cache.
func newUnreadingClient(env *testEnv) (clientConn net.Conn, inFlight *receivedCall) {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.addr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { closeOnce(env.t, conn) })
	c := &client{Conn: conn}
	c.request(99, "artes", longTimeoutMS, 99, "")
	inFlight = receive(env.t, env.cache.calls, "call")
	for id := range uint16(31) { // 7.4 MB, more than the buffers of both sockets hold
		c.request(id+1, "artes", longTimeoutMS, int(id), "")
	}
	for range 31 {
		receive(env.t, env.cache.calls, "call").answer("served", "-", strings.Repeat("x", 240_000))
	}
	env.eventually("all other requests are answered", func() bool { return env.metric("svc_open_requests") == 1 })
	return conn, inFlight
}

// pastDisconnectGrace is longer than the time after a client's disconnect during which its attempts may still begin.
const pastDisconnectGrace = 150 * time.Millisecond
