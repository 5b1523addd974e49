package soak

import (
	"net"
	"strings"
	"sync"
	"time"
)

// takeAnswer takes a final answer.
func (c *clientConn) takeAnswer(id uint16, content []byte) {
	c.mu.Lock()
	q := c.open[id]
	if q == nil { // a second answer
		q = c.done[id]
	}
	delete(c.open, id)
	c.done[id] = q
	c.lastUsed = c.d.h.Now()
	c.mu.Unlock()
	text := string(c.texts[id])
	delete(c.texts, id)
	top, body, _ := strings.Cut(text, "\r\n\r\n")
	status, _, _ := strings.Cut(strings.TrimPrefix(top, "Status: "), "\r\n")
	a := FinalAnswer{At: c.d.h.Now(), Status: status, ProtocolOverloaded: len(content) > 4 && content[4] == 2, Body: body[:min(len(body), keptBodyBytes)]}
	if q == nil {
		return
	}
	taken := len(content) > 4 && text == "" && !a.ProtocolOverloaded // END_REQUEST for one that was taken back
	c.d.h.locked(func() {
		if !taken {
			q.Answers = append(q.Answers, a)
		}
	})
	c.d.h.Note("client", "%s answered %s %q", q.ID, status, a.Body[:min(len(a.Body), 20)])
}

// clientConn is a client's clientConn to one proxy.
type clientConn struct {
	d           *proxyClients
	conn        net.Conn
	number      int
	incarnation int
	mu          sync.Mutex
	next        uint16
	open        map[uint16]*Request
	done        map[uint16]*Request // answered
	texts       map[uint16][]byte
	requests    int
	lastUsed    time.Duration
	ended       bool
}

// register gives a request its number on the connection.
func (c *clientConn) register(q *Request) (id uint16, out []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = c.next%60000 + 1
	c.open[c.next] = q
	q.Incarnation, q.FirstOnConnection = c.incarnation, c.requests == 0
	c.requests++
	c.lastUsed = c.d.h.Now()
	c.d.h.locked(func() { c.d.h.Requests = append(c.d.h.Requests, q) })
	return c.next, nil
}

// send sends a request, with more behind it in the same piece.
func (c *clientConn) send(q *Request, rest []byte) (id uint16) {
	id, out := c.register(q)
	out = append(append(out, requestRecords(id, q)...), rest...)
	if c.write(out) == nil {
		c.d.h.locked(func() { q.SentAt = c.d.h.Now() })
	}
	c.d.h.Note("client", "asks proxy-%d %s %s k=%s on connection %d", q.Proxy, q.Class, q.ID, q.Object, c.number)
	return id
}

func (c *clientConn) write(data []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // shows in the write
	_, err := c.conn.Write(data)
	return err
}

// closed takes note of what was open as the connection ended. What crossed the closed of one that rested is sent again on a new
// connection, once.
func (c *clientConn) closed() {
	c.conn.Close() //nolint:errcheck // it has ended
	now := c.d.h.Now()
	c.mu.Lock()
	c.ended = true
	left := c.open
	c.open = map[uint16]*Request{}
	c.mu.Unlock()
	for _, q := range left {
		crossed := false
		c.d.h.locked(func() {
			q.DisconnectedAt = now
			crossed = q.SentAt != 0 && !q.FirstOnConnection && now-q.SentAt < idleCloseRace && len(left) == 1
			q.NoAnswerOwed = q.NoAnswerOwed || crossed
		})
		c.d.h.Note("client", "connection %d to proxy-%d ended under %s (crossed %v)", c.number, c.d.p.number, q.ID, crossed)
	}
}
