package soak

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// The classes of requests.
const (
	classRead  = "artes"    // idempotent
	classWrite = "registro" // must be executed at most once
	classKeyed = "sellos"   // has an idempotency key, which servers remember for DeduplicationWindow
)

const (
	objectCount    = 60 // number of different objects
	groupCount     = 8  // number of purge groups
	requestTimeout = 1500 * time.Millisecond
	shortTimeout   = 30 * time.Millisecond
	longTimeout    = 5 * time.Second // longer than a process may run after SIGTERM
	dialTimeout    = time.Second
	idleCloseAfter = 3500 * time.Millisecond // idle time after which a client closes a connection

	burstRequests      = 8
	maxAbortDelay      = 30 * time.Millisecond // from a request to its abort
	maxDisconnectDelay = 60 * time.Millisecond // from the requests to the disconnect
	slowChunkBytes     = 40
	slowChunkInterval  = 2 * time.Millisecond
	idleConnCount      = 10
	idleDuration       = time.Second
	reuseChance        = 0.85 // probability that an action uses an open connection
)

// proxyClients holds the clients of one proxy. Its fields belong to the goroutine of run.
type proxyClients struct {
	proxy       *process
	history     *History
	rng         *rand.Rand
	conns       []*clientConn
	dialedConns int // number of connections opened so far
}

func newProxyClients(proxy *process, seed uint64) *proxyClients {
	return &proxyClients{proxy: proxy, history: proxy.r.history, rng: rand.New(rand.NewPCG(seed, uint64(proxy.number)))}
}

// run performs random actions until stop is closed, with exponentially distributed pauses.
func (pc *proxyClients) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(pc.rng.ExpFloat64() * float64(pc.proxy.r.requestInterval()))):
		}
		pc.performRandomAction()
	}
}

// performRandomAction draws one action of clients and performs it, if clients may make requests and there is a
// connection.
func (pc *proxyClients) performRandomAction() {
	pc.closeIdleConns()
	state := pc.proxy.admission()
	if !state.acceptsRequests {
		return
	}
	c := pc.pickConn(state.acceptsConns)
	if c == nil {
		return
	}
	switch draw := pc.rng.Float64(); {
	case draw < 0.57:
		c.send(pc.newRequest(classRead, requestTimeout), nil)
	case draw < 0.60:
		c.send(pc.newRequest(classWrite, longTimeout), nil)
	case draw < 0.70:
		c.send(pc.newRequest(classKeyed, requestTimeout), nil)
	case draw < 0.82:
		c.send(pc.newRequest(classWrite, requestTimeout), nil)
	case draw < 0.85:
		c.send(pc.newRequest(classRead, shortTimeout), nil)
	case draw < 0.88:
		pc.abortRequest(c)
	case draw < 0.91:
		pc.disconnect()
	case draw < 0.94:
		pc.sendMalformed()
	case draw < 0.96:
		pc.writeSlowly()
	case draw < 0.98:
		for range burstRequests {
			c.send(pc.newRequest(classRead, requestTimeout), nil)
		}
	default:
		pc.openIdleConns()
	}
}

// pickConn returns an open connection or opens one. It returns nil if it has to open one and can't.
func (pc *proxyClients) pickConn(mayConnect bool) *clientConn {
	if len(pc.conns) > 0 && (!mayConnect || pc.rng.Float64() < reuseChance) {
		return pc.conns[pc.rng.IntN(len(pc.conns))]
	}
	if !mayConnect {
		return nil
	}
	c := pc.dial()
	if c != nil {
		pc.conns = append(pc.conns, c)
	}
	return c
}

// closeIdleConns closes connections that have been idle for idleCloseAfter, and drops them and those that have ended
// from conns.
func (pc *proxyClients) closeIdleConns() {
	openConns := pc.conns[:0]
	for _, c := range pc.conns {
		idle, ended := c.state()
		if idle {
			c.conn.Close() //nolint:errcheck // the proxy may have closed it
		}
		if !ended && !idle {
			openConns = append(openConns, c)
		}
	}
	pc.conns = openConns
}

// dial connects to the proxy. It returns nil if clients may not connect now or the connection fails.
func (pc *proxyClients) dial() *clientConn {
	return pc.dialWith(func(conn net.Conn) net.Conn { return conn }, 0)
}

// dialWith is dial for a connection that wrap changes before it is used. If answersAwaited is over 0, the connection's
// channel of answers gets that capacity.
func (pc *proxyClients) dialWith(wrap func(net.Conn) net.Conn, answersAwaited int) *clientConn {
	state := pc.proxy.admission()
	if !state.acceptsConns {
		return nil
	}
	conn, err := net.DialTimeout("tcp", pc.proxy.addr, dialTimeout)
	if err != nil {
		pc.history.Logf("client", "connecting to proxy-%d failed: %v", pc.proxy.number, err)
		return nil
	}
	pc.dialedConns++
	c := newClientConn(pc, wrap(conn), state.incarnation)
	if answersAwaited > 0 {
		c.answered = make(chan struct{}, answersAwaited)
	}
	go c.readAnswers()
	return c
}

// newRequest returns a request of a class with a random ID and a random object.
func (pc *proxyClients) newRequest(class string, timeout time.Duration) *Request {
	number := pc.rng.IntN(objectCount)
	return &Request{
		ID: requestID(pc.rng.Uint64()), Class: class, Object: objectName(number), Group: number % groupCount,
		Proxy: pc.proxy.number, Timeout: timeout,
	}
}

// abortRequest aborts a request soon after it was sent.
func (pc *proxyClients) abortRequest(c *clientConn) {
	req := pc.newRequest(classRead, requestTimeout)
	id := c.send(req, nil)
	time.AfterFunc(pc.drawMillis(maxAbortDelay), func() {
		c.write(encodeRecord(fcgiAbortRequest, id, "")) //nolint:errcheck // readAnswers records a lost connection
		pc.history.withLock(func() { req.CancelledAt = pc.history.Now() })
	})
}

// drawMillis returns a random number of whole milliseconds below a limit.
func (pc *proxyClients) drawMillis(limit time.Duration) time.Duration {
	return time.Duration(pc.rng.IntN(int(limit.Milliseconds()))) * time.Millisecond
}

// The ways in which a client ends its connection.
const (
	disconnectByHalfClose = iota
	disconnectByReset
	disconnectByClose
	disconnectMethods
)

// disconnect sends a read and a write on a new connection, and ends the connection soon after.
func (pc *proxyClients) disconnect() {
	c := pc.dial()
	if c == nil {
		return
	}
	requests := []*Request{pc.newRequest(classRead, requestTimeout), pc.newRequest(classWrite, requestTimeout)}
	for _, req := range requests {
		c.send(req, nil)
	}
	method := pc.rng.IntN(disconnectMethods)
	time.AfterFunc(pc.drawMillis(maxDisconnectDelay), func() {
		pc.history.Logf("client", "disconnects with %s and %s open", requests[0].ID, requests[1].ID)
		c.disconnect(method)
		pc.history.withLock(func() {
			for _, req := range requests {
				req.CancelledAt = pc.history.Now()
			}
		})
	})
}

// sendMalformed sends a request and right after it a malformed record, on a new connection.
func (pc *proxyClients) sendMalformed() {
	c := pc.dial()
	if c == nil {
		return
	}
	req := pc.newRequest(classRead, requestTimeout)
	// An HTTP request, a BEGIN_REQUEST without a body, and bytes that are not a record of any FastCGI version.
	malformed := []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x01\x00\x09\x00\x00\x00\x00", strings.Repeat("\xff", 4000)}
	c.send(req, []byte(malformed[pc.rng.IntN(len(malformed))]))
}

// writeSlowly sends a request in small chunks on a new connection.
func (pc *proxyClients) writeSlowly() {
	c := pc.dial()
	if c == nil {
		return
	}
	req := pc.newRequest(classRead, requestTimeout)
	id := c.register(req)
	go c.writeSlowly(req, encodeRequest(id, req))
}

// openIdleConns opens idleConnCount connections, sends nothing on them, and closes them after idleDuration.
func (pc *proxyClients) openIdleConns() {
	for range idleConnCount {
		c := pc.dial()
		if c == nil {
			return
		}
		time.AfterFunc(idleDuration, func() {
			c.conn.Close() //nolint:errcheck // the proxy may have closed it
		})
	}
}
