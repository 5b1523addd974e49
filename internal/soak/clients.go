package soak

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	objects        = 60
	groupsInUse    = 8
	idleCloseAfter = 3500 * time.Millisecond // before a client closes a connection that it does not use
	idleCloseRace  = 60 * time.Millisecond   // before the end of a connection that rested
	keptBodyBytes  = 64                      // bytes of a body that are kept
	recordHeader   = 8
)

// The classes of requests.
const (
	classRead  = "artes"    // safe to repeat
	classWrite = "registro" // must never run twice
	classKeyed = "sellos"   // repeats are dropped for a while, by the request's key
)

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
