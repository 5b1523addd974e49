package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is TCP_CLOSE_WAIT of linux/tcp_states.h: the peer has closed its sending side.
const tcpCloseWait = 8

const (
	// habitClientCount is the number of clients that use a proxy before a fault ends their connections.
	habitClientCount = 5
	// habitLeadTime is the time for which they use it before.
	habitLeadTime = 300 * time.Millisecond
	// habitLifetime is the longest time for which a client follows its habit.
	habitLifetime = 8 * time.Second
	// minSteadyInterval and maxSteadyInterval are the ends of the range of the time between requests.
	minSteadyInterval = time.Millisecond
	maxSteadyInterval = 100 * time.Millisecond
	// slowReadRate is the number of bytes that a slow reader reads in a second.
	slowReadRate = 200_000
	// slowReadBuffer is the setting of a slow reader's receive buffer, so that its answers wait in the proxy.
	slowReadBuffer = 64 << 10
	// minReadPause is the shortest pause of a slow reader.
	minReadPause = 5 * time.Millisecond
	// slowReadBytes is the most that a slow reader reads at a time.
	slowReadBytes = 4 << 10
	// minSlowReaderShutdown is the least time until the kill that lets a slow reader receive what it is owed.
	minSlowReaderShutdown = 2500 * time.Millisecond
	slowReaderRequests    = 16 // open at a time
	// pipelinePause keeps a client whose requests are rejected at once from using up its FastCGI request IDs while an older
	// request is open.
	pipelinePause   = 2 * time.Millisecond
	trickleInterval = 30 * time.Millisecond
	// endPollInterval is the time between two checks whether the end of a slow reader's connection has arrived.
	endPollInterval = 2 * time.Millisecond
)

// habitRNGStream selects the PCG stream of a seed from which the habits of clients are drawn.
const habitRNGStream = 23

// habit says how a client uses its only connection.
type habit struct {
	name        string
	interval    time.Duration // from one request to the next, whatever the answers; 0: see afterAnswer
	afterAnswer time.Duration // from an answer to the next request
	outstanding int           // requests that are open at a time, without an interval
	slowReader  bool
	trickles    bool // writes a request a byte at a time
}

// drawHabit draws a habit for a client of a proxy that is killed at the earliest untilKill after SIGTERM.
func drawHabit(rng *rand.Rand, untilKill time.Duration) habit {
	spread := float64(maxSteadyInterval) / float64(minSteadyInterval)
	interval := time.Duration(float64(minSteadyInterval) * math.Pow(spread, rng.Float64()))
	switch draw := rng.Float64(); {
	case draw < 0.4:
		return habit{name: fmt.Sprintf("a request every %v", interval), interval: interval}
	case draw < 0.6:
		return habit{name: fmt.Sprintf("a request %v after each answer", interval), afterAnswer: interval, outstanding: 1}
	case draw < 0.75:
		return habit{name: "pipelining", afterAnswer: pipelinePause, outstanding: 2 + rng.IntN(burstRequests)}
	case draw < 0.85 && untilKill > minSlowReaderShutdown:
		return habit{name: "slow reader", outstanding: slowReaderRequests, slowReader: true}
	case draw < 0.95:
		return habit{name: "trickling", trickles: true}
	}
	return habit{name: "silent"}
}

// habitClient is a client that follows a habit until its connection ends.
type habitClient struct {
	habit
	clients *proxyClients
	conn    *clientConn
}

// startHabits connects clients with habits that are drawn for a fault, and returns when they have used their connections
// for habitLeadTime. They go on until their connections end.
func (r *run) startHabits(p *process, f Fault) {
	rng := rand.New(rand.NewPCG(r.seed+uint64(f.At), habitRNGStream))
	for range habitClientCount {
		c := &habitClient{habit: drawHabit(rng, p.maxShutdown()), clients: newProxyClients(p, rng.Uint64())}
		if c.connect() {
			r.habitClients.Go(c.run)
		}
	}
	time.Sleep(habitLeadTime)
}

// connect opens the client's connection, and reports whether it could.
func (c *habitClient) connect() bool {
	c.conn = c.clients.dialWith(func(conn net.Conn) net.Conn {
		if c.slowReader {
			return newSlowConn(conn)
		}
		return conn
	}, max(1, c.outstanding))
	if c.conn == nil {
		return false
	}
	c.conn.history.withLock(func() { c.conn.record.Habit = c.name })
	if slow, isSlow := c.conn.conn.(*slowConn); isSlow {
		go c.watchForEnd(slow)
	}
	return true
}

// watchForEnd records when the proxy's end of the connection arrives. The client reads it only behind its answers.
func (c *habitClient) watchForEnd(conn *slowConn) {
	for !conn.peerHasClosed() {
		select {
		case <-c.conn.closed:
			return
		case <-time.After(endPollInterval):
		}
	}
	c.conn.finAt.Store(int64(c.conn.history.Now()))
}

// run follows the habit until the connection ends or habitLifetime is over.
func (c *habitClient) run() {
	lifetime := time.NewTimer(habitLifetime)
	defer lifetime.Stop()
	defer c.end()
	if c.trickles {
		c.trickle()
		return
	}
	for range c.outstanding {
		c.ask()
	}
	var ticks <-chan time.Time
	if c.interval > 0 {
		ticker := time.NewTicker(c.interval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-c.conn.closed:
			return
		case <-lifetime.C:
			c.leave()
			return
		case <-ticks:
			c.ask()
		case <-c.conn.answered:
			if c.outstanding > 0 {
				time.Sleep(c.afterAnswer)
				c.ask()
			}
		}
	}
}

// leave records that the client gives up its open requests, as it is about to close its connection.
func (c *habitClient) leave() {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	c.conn.history.withLock(func() {
		for _, req := range c.conn.openRequests {
			req.CancelledAt = c.conn.history.Now()
		}
	})
}

// end closes the connection and waits until its end is recorded.
func (c *habitClient) end() {
	c.conn.conn.Close() //nolint:errcheck // the proxy may have closed it
	<-c.conn.closed
}

// ask sends a read.
func (c *habitClient) ask() {
	req := c.clients.newRequest(classRead, requestTimeout)
	if c.slowReader { // the time that its reading takes is not counted
		req.ReadingTime = slowReaderRequests * bodySize * time.Second / slowReadRate
	}
	c.conn.send(req, nil)
}

// trickle writes a request a byte at a time until the connection ends or the request is complete.
func (c *habitClient) trickle() {
	req := c.clients.newRequest(classRead, requestTimeout)
	id := c.conn.register(req)
	for _, b := range encodeRequest(id, req) {
		select {
		case <-c.conn.closed:
			return
		case <-time.After(trickleInterval):
		}
		if c.conn.write([]byte{b}) != nil {
			return
		}
	}
	c.conn.history.withLock(func() { req.SentAt = c.conn.history.Now() })
	<-c.conn.closed
}

// slowConn is a connection that is read at slowReadRate by one goroutine.
type slowConn struct {
	net.Conn
	pause time.Duration // that is due for what was read
}

func newSlowConn(conn net.Conn) *slowConn {
	conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer) //nolint:errcheck // with the default size the client is less slow
	return &slowConn{Conn: conn}
}

// Read reads, and pauses for as long as slowReadRate requires. Short pauses are added up, as each would take longer.
func (c *slowConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), slowReadBytes)])
	c.pause += time.Duration(n) * time.Second / slowReadRate
	if c.pause >= minReadPause {
		time.Sleep(c.pause)
		c.pause = 0
	}
	return n, err
}

// peerHasClosed reports whether the peer's end of the connection has arrived, read or not; false if that is unknown.
func (c *slowConn) peerHasClosed() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		arrived = err == nil && info.State == tcpCloseWait
	})
	return err == nil && arrived
}
