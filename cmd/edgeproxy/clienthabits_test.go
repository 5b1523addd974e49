package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// habit says how a client uses its connection. The zero value connects and sends nothing.
type habit struct {
	name        string
	interval    time.Duration // from one request to the next, whether answered or not; 0: see afterAnswer
	afterAnswer time.Duration // from an answer to the next request, with interval 0; negative: no further request
	outstanding int           // requests that are sent at the start, with interval 0
	class       string        // of the requests; empty: artes
	firstClass  string        // of the first request, if it differs
	readRate    int           // bytes read per second; 0: at once
	firstObject int           // number of the first object; see firstMediumObject
	stopsAsking time.Duration // after the start of the drain or shutdown; 0: never
	partBytes   int           // writes so many bytes of a further request, one every partInterval, and no more
}

const (
	// The answers for the objects from these numbers on have so many bytes. Others are short.
	firstMediumObject = 100_000
	mediumObjectBytes = 10_000
	firstLargeObject  = 200_000
	largeObjectBytes  = 200_000
	firstHalfObject   = 300_000
	halfObjectBytes   = 100_000
	partInterval      = 40 * time.Millisecond
	// crossingTime is the time before and after the arrival of the end of a connection within which a request is sent
	// again, by the protocol, with 10 ms for this process.
	crossingTime = 60 * time.Millisecond
)

// habitClient is a client with a habit on one connection. Its fields are for after the wait for its done channel.
type habitClient struct {
	habit
	sentAt     map[uint16]time.Time // requests without an answer, by FastCGI id
	lastAnswer time.Time
	endedAt    time.Time  // when the client read the end of its connection
	finAt      time.Time  // when that end arrived, if it was seen before it was read
	mu         sync.Mutex // guards finAt
	openClient *client
	orderedAt  chan time.Time // receives the start of the drain or shutdown
	done       chan struct{}  // closed at the end of the connection
}

// rateLimitedConn is a connection that is read at a limited rate.
type rateLimitedConn struct {
	net.Conn
	bytesPerSecond int
}

// readStep is the time between two reads of a rateLimitedConn.
const readStep = 10 * time.Millisecond

func (c rateLimitedConn) Read(data []byte) (int, error) {
	stepBytes := int(float64(c.bytesPerSecond) * readStep.Seconds())
	n, err := c.Conn.Read(data[:min(len(data), stepBytes)])
	time.Sleep(time.Duration(float64(n) / float64(c.bytesPerSecond) * float64(time.Second)))
	return n, err
}

// startHabit connects a client and lets it follow its habit until its connection ends.
func (env *testEnv) startHabit(h habit) *habitClient {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.addr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { conn.Close() }) //nolint:errcheck // the program may have closed it
	if h.readRate > 0 {
		conn = rateLimitedConn{conn, h.readRate}
	}
	c := &habitClient{
		habit: h, sentAt: map[uint16]time.Time{}, openClient: newClient(conn),
		orderedAt: make(chan time.Time, 1), done: make(chan struct{}),
	}
	go c.run()
	if limited, isLimited := conn.(rateLimitedConn); isLimited {
		go c.watchForEnd(limited)
	}
	return c
}

// watchForEnd records when the program's end of the connection arrives, which the client reads only behind its answers.
func (c *habitClient) watchForEnd(conn rateLimitedConn) {
	const tcpCloseWait = 8 // TCP_CLOSE_WAIT of linux/tcp_states.h
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for arrived := false; !arrived; time.Sleep(time.Millisecond) {
		select {
		case <-c.done:
			return
		default:
		}
		raw.Control(func(fd uintptr) { //nolint:errcheck // then done follows
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			arrived = err == nil && info.State == tcpCloseWait
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finAt = time.Now()
}

// run follows the habit until the connection ends.
func (c *habitClient) run() {
	defer close(c.done)
	var id uint16
	send := func() {
		id++
		c.send(id)
	}
	for range c.outstanding {
		send()
	}
	var ticks <-chan time.Time
	if c.interval > 0 {
		ticker := time.NewTicker(c.interval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	if c.partBytes > 0 {
		go c.writePart()
	}
	nextRequests := make(chan struct{}, max(1, c.outstanding))
	var lastRequest <-chan time.Time
	for {
		select {
		case a := <-c.openClient.answers:
			if a.id == 0 {
				c.endedAt = time.Now()
				return
			}
			c.lastAnswer = time.Now()
			delete(c.sentAt, a.id)
			if c.interval == 0 && c.outstanding > 0 && c.afterAnswer >= 0 {
				time.AfterFunc(c.afterAnswer, func() { nextRequests <- struct{}{} })
			}
		case <-ticks:
			send()
		case <-nextRequests:
			send()
		case orderedAt := <-c.orderedAt:
			if c.stopsAsking > 0 {
				lastRequest = time.After(time.Until(orderedAt.Add(c.stopsAsking)))
			}
		case <-lastRequest:
			ticks = nil
			c.afterAnswer = -1
		}
	}
}

// send writes a request in one call.
func (c *habitClient) send(id uint16) {
	out := &bufferedConn{Conn: c.openClient.Conn}
	class, object := c.class, int(id)
	if class == "" {
		class = "artes"
	}
	if id == 1 && c.firstClass != "" {
		class = c.firstClass
	}
	object += c.firstObject
	(&client{Conn: out}).request(id, class, longTimeoutMS, object, "")
	c.sentAt[id] = time.Now()
	out.flush()
}

// writePart writes the beginning of a request slowly, and never its end.
func (c *habitClient) writePart() {
	out := &bufferedConn{Conn: c.openClient.Conn}
	(&client{Conn: out}).request(9999, "artes", longTimeoutMS, 1, "")
	for i := range min(c.partBytes, len(out.buffer)-1) {
		c.openClient.Write(out.buffer[i : i+1]) //nolint:errcheck // a lost connection shows in the answers
		time.Sleep(partInterval)
	}
}

// lostRequests describes the requests that got no answer although they did not cross the end of the connection, and of
// which the client still had no whole answer then.
func (c *habitClient) lostRequests() (lost []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := c.endedAt
	if !c.finAt.IsZero() {
		end = c.finAt
	}
	for id, sentAt := range c.sentAt {
		if end.Sub(sentAt).Abs() > crossingTime {
			lost = append(lost, fmt.Sprintf("request %d, sent %v before the end", id, end.Sub(sentAt)))
		}
	}
	return lost
}

// answerByObject answers all calls at the cache from now on, with the number of bytes that belongs to the object.
func (s *fakeServer) answerByObject() {
	large := strings.Repeat("x", largeObjectBytes)
	go func() {
		for call := range s.calls {
			object, err := strconv.ParseInt(call.fields["k"], 16, 64)
			switch {
			case err != nil || object < firstMediumObject:
				call.answer("served", "-", "short")
			case object < firstLargeObject:
				call.answer("served", "-", large[:mediumObjectBytes])
			case object < firstHalfObject:
				call.answer("served", "-", large)
			default:
				call.answer("served", "-", large[:halfObjectBytes])
			}
		}
	}()
}
