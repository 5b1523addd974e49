package soak

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// The classes of requests.
const (
	classRead  = "artes"    // safe to repeat
	classWrite = "registro" // must never run twice
	classKeyed = "sellos"   // repeats are dropped for a while, by the request's key
)

const (
	objects        = 60
	groupsInUse    = 8
	idleCloseAfter = 3500 * time.Millisecond // before a client closes a connection that it does not use
	idleCloseRace  = 60 * time.Millisecond   // before the end of a connection that rested
	keptBodyBytes  = 64                      // bytes of a body that are kept
	recordHeader   = 8
)

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

// proxyClients is the clients of one proxy.
type proxyClients struct {
	p            *process
	h            *History
	rng          *rand.Rand
	conns        []*clientConn
	dialed       int
	meanInterval time.Duration // between two requests, in the mean
}

func newProxyClients(p *process, seed uint64, pause time.Duration) *proxyClients {
	return &proxyClients{p: p, h: p.r.h, rng: rand.New(rand.NewPCG(seed, uint64(p.number))), meanInterval: pause}
}

// run asks until the run is over.
func (d *proxyClients) run(over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(d.rng.ExpFloat64() * float64(d.meanInterval))):
		}
		d.step()
	}
}

// step does one of the things that clients do.
func (d *proxyClients) step() {
	d.closeIdle()
	admits, takes, _ := d.p.admission()
	if !takes {
		return
	}
	c := d.pick(admits)
	if c == nil {
		return
	}
	wait := 1500 * time.Millisecond
	switch draw := d.rng.Float64(); {
	case draw < 0.60:
		c.send(d.request(classRead, wait), nil)
	case draw < 0.70:
		c.send(d.request(classKeyed, wait), nil)
	case draw < 0.82:
		c.send(d.request(classWrite, wait), nil)
	case draw < 0.85: // little time
		c.send(d.request(classRead, 30*time.Millisecond), nil)
	case draw < 0.88:
		d.abortRequest(c)
	case draw < 0.91:
		d.disconnect()
	case draw < 0.94:
		d.sendMalformed()
	case draw < 0.96:
		d.writeSlowly()
	case draw < 0.98:
		for range 8 {
			c.send(d.request(classRead, wait), nil)
		}
	default:
		d.connectIdle()
	}
}

// pick returns a connection to ask on: one that is open, or a new one.
func (d *proxyClients) pick(admits bool) *clientConn {
	if len(d.conns) > 0 && (!admits || d.rng.Float64() < 0.85) {
		return d.conns[d.rng.IntN(len(d.conns))]
	}
	if !admits {
		return nil
	}
	c := d.dial()
	if c != nil {
		d.conns = append(d.conns, c)
	}
	return c
}

// closeIdle forgets connections that have ended, and closes those that have rested.
func (d *proxyClients) closeIdle() {
	kept := d.conns[:0]
	for _, c := range d.conns {
		c.mu.Lock()
		rested := len(c.open) == 0 && d.h.Now()-c.lastUsed > idleCloseAfter
		ended := c.ended
		c.mu.Unlock()
		if rested {
			c.conn.Close() //nolint:errcheck // it may have ended
		}
		if !ended && !rested {
			kept = append(kept, c)
		}
	}
	d.conns = kept
}

func (d *proxyClients) dial() *clientConn {
	_, _, life := d.p.admission()
	conn, err := net.DialTimeout("tcp", d.p.addr, time.Second)
	if err != nil {
		d.h.Note("client", "proxy-%d lets nobody in: %v", d.p.number, err)
		return nil
	}
	d.dialed++
	c := &clientConn{d: d, conn: conn, number: d.dialed, incarnation: life,
		open: map[uint16]*Request{}, done: map[uint16]*Request{}, texts: map[uint16][]byte{}, lastUsed: d.h.Now()}
	go c.read()
	return c
}

func (d *proxyClients) request(class string, wait time.Duration) *Request {
	n := d.rng.IntN(objects)
	return &Request{ID: fmt.Sprintf("%016x", d.rng.Uint64()), Class: class, Object: fmt.Sprintf("%016x", n), Group: n % groupsInUse,
		Proxy: d.p.number, Timeout: wait}
}

// abortRequest takes a request back soon after it was sent.
func (d *proxyClients) abortRequest(c *clientConn) {
	q := d.request(classRead, 1500*time.Millisecond)
	id := c.send(q, nil)
	time.AfterFunc(time.Duration(d.rng.IntN(30))*time.Millisecond, func() {
		c.write(record(2, id, "")) //nolint:errcheck // a lost connection shows in the answers
		d.h.locked(func() { q.CanceledAt = d.h.Now() })
	})
}

// disconnect asks, and ends its connection soon after: whole, its own side, or with a reset.
func (d *proxyClients) disconnect() {
	c := d.dial()
	if c == nil {
		return
	}
	queries := []*Request{d.request(classRead, 1500*time.Millisecond), d.request(classWrite, 1500*time.Millisecond)}
	for _, q := range queries {
		c.send(q, nil)
	}
	how := d.rng.IntN(3)
	time.AfterFunc(time.Duration(d.rng.IntN(60))*time.Millisecond, func() {
		defer d.h.locked(func() {
			for _, q := range queries {
				q.CanceledAt = d.h.Now()
			}
		})
		d.h.Note("client", "leaves with %s and %s", queries[0].ID, queries[1].ID)
		switch tcp := c.conn.(*net.TCPConn); how {
		case 0:
			tcp.CloseWrite() //nolint:errcheck // it may have ended
			return
		case 1:
			tcp.SetLinger(0) //nolint:errcheck // as above
		}
		c.conn.Close() //nolint:errcheck // as above
	})
}

// sendMalformed asks, and sends what can't be read right behind.
func (d *proxyClients) sendMalformed() {
	c := d.dial()
	if c == nil {
		return
	}
	q := d.request(classRead, 1500*time.Millisecond)
	rest := []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x01\x00\x09\x00\x00\x00\x00", strings.Repeat("\xff", 4000)}[d.rng.IntN(3)]
	c.send(q, []byte(rest))
}

// writeSlowly sends a request in pieces.
func (d *proxyClients) writeSlowly() {
	c := d.dial()
	if c == nil {
		return
	}
	q := d.request(classRead, 1500*time.Millisecond)
	id, out := c.register(q)
	out = append(out, requestRecords(id, q)...)
	go func() {
		for len(out) > 0 {
			size := min(len(out), 40)
			if c.write(out[:size]) != nil {
				return
			}
			if out = out[size:]; len(out) > 0 {
				time.Sleep(2 * time.Millisecond)
			}
		}
		d.h.locked(func() { q.SentAt = d.h.Now() })
		d.h.Note("client", "has asked proxy-%d %s %s slowly on connection %d", q.Proxy, q.Class, q.ID, c.number)
	}()
}

// connectIdle connects and says nothing for a while.
func (d *proxyClients) connectIdle() {
	for range 10 {
		c := d.dial()
		if c == nil {
			return
		}
		time.AfterFunc(time.Second, func() {
			c.conn.Close() //nolint:errcheck // the proxy may have closed it
		})
	}
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

func requestRecords(id uint16, q *Request) []byte {
	var pairs []byte
	for _, p := range [][2]string{
		{"SCRIPT_NAME", "/ops/" + q.Class}, {"HTTP_REQ_ID", q.ID}, {"HTTP_REQ_KEY", q.Object},
		{"HTTP_REQ_WAIT_MS", fmt.Sprint(q.Timeout.Milliseconds())}, {"HTTP_X_PIECE", "0"}, {"HTTP_X_LOT", fmt.Sprint(q.Group)},
	} {
		pairs = append(append(append(pairs, byte(len(p[0])), byte(len(p[1]))), p[0]...), p[1]...)
	}
	if q.Class == classKeyed {
		name := "HTTP_REQ_TOKEN"
		pairs = append(append(append(pairs, byte(len(name)), byte(len(q.ID))), name...), q.ID...)
	}
	out := record(1, id, "\x00\x01\x01\x00\x00\x00\x00\x00")
	out = append(append(out, record(4, id, string(pairs))...), record(4, id, "")...)
	if q.Class == classWrite {
		out = append(out, record(5, id, strings.Repeat("w", 2000))...)
	}
	return append(out, record(5, id, "")...)
}

func record(kind byte, id uint16, content string) []byte {
	head := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 0, 0}
	return append(head, content...)
}

// read takes the answers until the connection ends.
func (c *clientConn) read() {
	defer c.closed()
	for {
		var head [recordHeader]byte
		if _, err := io.ReadFull(c.conn, head[:]); err != nil {
			return
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(c.conn, content); err != nil {
			return
		}
		id := binary.BigEndian.Uint16(head[2:])
		switch head[1] {
		case 6:
			c.texts[id] = append(c.texts[id], content...)
		case 3:
			c.takeAnswer(id, content)
		}
	}
}

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
