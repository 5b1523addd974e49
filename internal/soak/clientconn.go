package soak

import (
	"cmp"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleCloseRaceWindow is the period before a proxy closes an idle connection in which a client may still send a
	// request that the proxy no longer reads.
	idleCloseRaceWindow = 60 * time.Millisecond
	// unusedIdleAge is the age from which an unused connection counts as idle. From that age on, the proxy may close
	// it, because no request is open on it; a first request that is sent earlier must be answered, unless idle clients
	// fill the proxy's descriptors and the request was never received (see connEnd).
	unusedIdleAge = 500 * time.Millisecond
	// keptBodyBytes is the maximum number of bytes of an answer's body that are recorded.
	keptBodyBytes = 64
	// timelineBodyBytes is the maximum number of bytes of an answer's body that the timeline shows.
	timelineBodyBytes = 20
	writeTimeout      = 5 * time.Second
	// maxRequestID is the highest FastCGI request ID that a client uses. The next request gets ID 1 again.
	maxRequestID = 60000
)

// clientConn is a client's connection to a proxy. readAnswers runs in a goroutine of its own, reads until the
// connection ends, and then closes it.
type clientConn struct {
	clients     *proxyClients
	history     *History
	conn        net.Conn
	number      int // number of the connection among those to the proxy, from 1
	incarnation int // number of the proxy's incarnation
	openedAt    time.Duration
	outputs     map[uint16][]byte // output so far by request ID; used only by readAnswers
	record      *Conn             // guarded by the history's lock
	finAt       atomic.Int64      // when the proxy's end of the connection arrived, if the client may read it much later; 0: unknown
	answered    chan struct{}     // gets a value for each answer; nil: nobody waits
	closed      chan struct{}     // closed at the end of the connection

	mu               sync.Mutex // guards the fields below
	lastID           uint16
	openRequests     map[uint16]*Request
	answeredRequests map[uint16]*Request
	requestCount     int
	lastUsedAt       time.Duration
	ended            bool
}

func newClientConn(pc *proxyClients, conn net.Conn, incarnation int) *clientConn {
	c := &clientConn{
		clients: pc, history: pc.history, conn: conn, number: pc.dialedConns, incarnation: incarnation,
		openedAt: pc.history.Now(), openRequests: map[uint16]*Request{}, answeredRequests: map[uint16]*Request{},
		outputs: map[uint16][]byte{}, lastUsedAt: pc.history.Now(), closed: make(chan struct{}),
	}
	c.record = &Conn{Proxy: pc.proxy.number, Incarnation: incarnation, OpenedAt: c.openedAt}
	c.history.withLock(func() { c.history.Conns = append(c.history.Conns, c.record) })
	return c
}

// state reports whether the connection has been idle for idleCloseAfter, and whether it has ended.
func (c *clientConn) state() (idle, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle = len(c.openRequests) == 0 && c.history.Now()-c.lastUsedAt > idleCloseAfter
	return idle, c.ended
}

// register gives a request its FastCGI request ID and adds it to the history.
func (c *clientConn) register(req *Request) (id uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID = c.lastID%maxRequestID + 1
	c.openRequests[c.lastID] = req
	req.Incarnation = c.incarnation
	req.FirstOnConnection = c.requestCount == 0
	c.requestCount++
	c.lastUsedAt = c.history.Now()
	c.history.withLock(func() {
		c.history.Requests = append(c.history.Requests, req)
		c.record.Requests = append(c.record.Requests, req)
	})
	return c.lastID
}

// send sends a request, followed by more bytes in the same write.
func (c *clientConn) send(req *Request, trailingBytes []byte) (id uint16) {
	id = c.register(req)
	if c.write(append(encodeRequest(id, req), trailingBytes...)) == nil {
		c.history.withLock(func() { req.SentAt = c.history.Now() })
	}
	c.history.Logf("client", "sent to proxy-%d: %s %s k=%s on connection %d",
		req.Proxy, req.Class, req.ID, req.Object, c.number)
	return id
}

// writeSlowly sends the records of a registered request in small chunks with pauses in between.
func (c *clientConn) writeSlowly(req *Request, records []byte) {
	for len(records) > 0 {
		size := min(len(records), slowChunkBytes)
		if c.write(records[:size]) != nil {
			return
		}
		records = records[size:]
		if len(records) > 0 {
			time.Sleep(slowChunkInterval)
		}
	}
	c.history.withLock(func() { req.SentAt = c.history.Now() })
	c.history.Logf("client", "sent slowly to proxy-%d: %s %s on connection %d", req.Proxy, req.Class, req.ID, c.number)
}

func (c *clientConn) write(data []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // if it fails, the write fails too
	_, err := c.conn.Write(data)
	return err
}

// disconnect ends the connection by one of the disconnect methods.
func (c *clientConn) disconnect(method int) {
	tcp := c.conn.(*net.TCPConn)
	switch method {
	case disconnectByHalfClose:
		tcp.CloseWrite() //nolint:errcheck // the proxy may have closed it
	case disconnectByReset:
		tcp.SetLinger(0) //nolint:errcheck // as above
		tcp.Close()      //nolint:errcheck // as above
	case disconnectByClose:
		tcp.Close() //nolint:errcheck // as above
	}
}

// readAnswers reads and records answers until the connection ends.
func (c *clientConn) readAnswers() {
	defer c.recordClose()
	for {
		recordType, id, content, err := readRecord(c.conn)
		if err != nil {
			return
		}
		switch recordType {
		case fcgiStdout:
			c.outputs[id] = append(c.outputs[id], content...)
		case fcgiEndRequest:
			c.recordAnswer(id, content)
		}
	}
}

// recordAnswer records the answer that an END_REQUEST completes.
func (c *clientConn) recordAnswer(id uint16, endRequest []byte) {
	req := c.takeRequest(id)
	output := string(c.outputs[id])
	delete(c.outputs, id)
	if req == nil {
		return
	}
	header, body, _ := strings.Cut(output, "\r\n\r\n")
	status, _, _ := strings.Cut(strings.TrimPrefix(header, "Status: "), "\r\n")
	hasProtocolStatus := len(endRequest) > fcgiProtocolStatusOffset
	answer := FinalAnswer{
		At: c.history.Now(), Status: status,
		ProtocolOverloaded: hasProtocolStatus && endRequest[fcgiProtocolStatusOffset] == fcgiStatusOverloaded,
		Body:               body[:min(len(body), keptBodyBytes)],
	}
	// An END_REQUEST without output confirms an abort and is no answer, unless it rejects the request.
	confirmsAbort := hasProtocolStatus && output == "" && !answer.ProtocolOverloaded
	if !confirmsAbort {
		c.history.withLock(func() { req.Answers = append(req.Answers, answer) })
	}
	c.history.Logf("client", "%s answered %s %q", req.ID, status, answer.Body[:min(len(answer.Body), timelineBodyBytes)])
	select {
	case c.answered <- struct{}{}:
	default: // nobody waits
	}
}

// takeRequest marks the request with an ID as answered and returns it, even if it was answered before. It returns nil
// if the ID is unknown.
func (c *clientConn) takeRequest(id uint16) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.openRequests[id]
	if req == nil {
		req = c.answeredRequests[id]
	}
	delete(c.openRequests, id)
	c.answeredRequests[id] = req
	c.lastUsedAt = c.history.Now()
	return req
}

// connEnd is how a connection ended, as its client saw it.
type connEnd struct {
	at       time.Duration // when the end arrived; where that is not known, when the client read it
	received bool          // the proxy's system has acknowledged at least one byte of the client's
	crowded  bool          // idle clients filled the proxy's descriptors then
}

// mayRaceIdleClose reports whether the proxy may have closed the connection as idle before it read a request: the
// request was sent in full less than idleCloseRaceWindow before or after the close, and is not the first one on a connection
// younger than unusedIdleAge. A proxy whose descriptors are filled by idle clients may close a younger one too, but only
// before anything on it was received.
func (c *clientConn) mayRaceIdleClose(req *Request, end connEnd) bool {
	if req.SentAt == 0 || end.at-req.SentAt >= idleCloseRaceWindow || req.SentAt-end.at >= idleCloseRaceWindow {
		return false
	}
	if !req.FirstOnConnection || req.SentAt-c.openedAt > unusedIdleAge {
		return true
	}
	return end.crowded && !end.received
}

// isBeingSent reports whether the last byte of a request may just have been written when the connection ended, so that it
// is not recorded yet, and the request may race with the close.
func (c *clientConn) isBeingSent(req *Request, end connEnd) bool {
	if req.SentAt != 0 {
		return false
	}
	sentNow := *req
	sentNow.SentAt = end.at
	return c.mayRaceIdleClose(&sentNow, end)
}

// synBytes is what Linux counts as acknowledged for the SYN of a connection.
const synBytes = 1

// received reports whether the proxy's system has acknowledged a byte that was written to a connection; true if that
// is unknown.
func received(conn net.Conn) bool {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	known, acknowledged := false, uint64(0)
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			known, acknowledged = true, info.Bytes_acked
		}
	})
	return err != nil || !known || acknowledged > synBytes
}

// recordClose records which requests were open when the connection ended. If all of them may have raced with the
// proxy's close of an idle connection, they require no answer.
func (c *clientConn) recordClose() {
	defer close(c.closed)
	now := c.history.Now()
	c.history.withLock(func() { c.record.EndedAt = now })
	end := connEnd{at: cmp.Or(time.Duration(c.finAt.Load()), now), received: received(c.conn), crowded: c.clients.proxy.idleCrowds.Load() > 0}
	c.conn.Close() //nolint:errcheck // the proxy has closed it
	c.mu.Lock()
	c.ended = true
	openRequests := c.openRequests
	c.openRequests = map[uint16]*Request{}
	c.mu.Unlock()
	raced := true
	c.history.withLock(func() {
		for _, req := range openRequests {
			raced = raced && (c.mayRaceIdleClose(req, end) || c.isBeingSent(req, end))
		}
	})
	for _, req := range openRequests {
		c.history.withLock(func() {
			req.DisconnectedAt = now
			req.AnswerNotRequired = req.AnswerNotRequired || raced
		})
		c.history.Logf("client",
			"connection %d to proxy-%d, opened %.3f s before, ended with %s open (raced with an idle close: %v, received: %v, crowded: %v)",
			c.number, c.clients.proxy.number, (now - c.openedAt).Seconds(), req.ID, raced, end.received, end.crowded)
	}
}
