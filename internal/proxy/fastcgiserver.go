package proxy

// This file holds the FastCGI server: its interface to the proxy, its timeouts, and how it stops.

import (
	"log/slog"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

const (
	// writeStallTimeout is the time after which the connection of a client that receives nothing of its answers is
	// closed.
	writeStallTimeout = 10 * time.Second
	// criticalWriteStallTimeout replaces writeStallTimeout for clients with queued answers while the memory budget is
	// critical.
	criticalWriteStallTimeout = 200 * time.Millisecond
	// maxClosingTime is the longest time that a client may take to receive its answers once its connection is closing.
	maxClosingTime = time.Minute
	// maxReadingTime is the longest time for which a client counts as reading after its system has received all answers, or
	// it was last seen to read.
	maxReadingTime = time.Second
	// idleTimeout is the longest time that a connection may go without input from the client, counted from when the
	// client's system has received all answers.
	// Clients close idle connections after 4 s: a client that has not done so has probably vanished, and its
	// connection would occupy a descriptor. A connection with open requests is kept: policy.MayClose denies its close.
	idleTimeout = 5 * time.Second
	// requestPauseTimeout is the longest pause of a client before its first request, or in the middle of a request.
	requestPauseTimeout = 2 * time.Second
	// requestReadTimeout is the longest time that a client may take to send a complete request, pauses included.
	requestReadTimeout = 10 * time.Second
	// connCheckInterval is the interval at which all client connections are checked for these timeouts.
	connCheckInterval = maxPollTime
)

// requestHandler is the FastCGI server's interface to the proxy. Its methods are called on the loop's goroutine
// and must not block. Requests are identified by the number that submitRequest returned; numbers of requests that
// have ended, and 0, are ignored.
type requestHandler interface {
	// classIndex returns a class's index in the settings.
	classIndex(name string) (index int, known bool)
	// isBacklogged reports whether further requests should be submitted in a later turn of the event loop.
	isBacklogged() bool
	// submitRequest takes a complete request and returns its number, or 0 when the request was answered at once.
	// Every request gets exactly one answer, unless handleDisconnect or handleConnectionClosed ends it first.
	submitRequest(parsed Request, responder Responder) int64
	// rejectUnsubmitted counts and answers a request that has never been submitted.
	rejectUnsubmitted(parsed Request, responder Responder, a Answer)
	// handleDisconnect ends a request that its client has aborted. It gets no answer.
	handleDisconnect(number int64)
	// cancelAfterDisconnect cancels a request whose client has probably disconnected. It answers the request at
	// once, as the client may have closed only its sending side.
	cancelAfterDisconnect(number int64)
	// cancelBeforeClose cancels and answers a request, as its connection is about to be closed by this process.
	cancelBeforeClose(number int64)
	// handleConnectionClosed ends a request whose connection has closed. evicted says whether it was closed to
	// make room for another client, which must not happen while a request is open.
	handleConnectionClosed(number int64, evicted bool)
	// requestID returns the id that the client has given to a request; empty if the request has ended.
	requestID(number int64) string
}

// FastCGIServer accepts clients' connections and turns their FastCGI records into Requests. It closes
// connections that are stalled, idle or evicted, and, while the process drains, those without open requests.
type FastCGIServer struct {
	handler   requestHandler
	loop      *eventloop.Loop
	log       *slog.Logger
	lifecycle *lifecycle
	memory    *memoryBudget
	counters  *counters

	listener      *eventloop.Listener
	sharedSocket  bool // another process may accept from the same listening socket
	conns         map[*clientConn]bool
	blockedConns  map[*clientConn]bool // those with requests blocked by backpressure
	maxConns      int
	acceptedConns int64 // number of connections accepted so far; also the newest connection's number in the log

	noCapacitySince eventloop.Timestamp // since when nobody could be evicted for a new client; 0: somebody could
	nextHoldReport  eventloop.Timestamp // see reportHeldConns
}

// start begins the periodic checks of the connections that ln accepts.
func (f *FastCGIServer) start(ln *eventloop.Listener) {
	f.listener = ln
	f.checkConns()
}

// accept returns the handler of a new connection.
func (f *FastCGIServer) accept(conn *eventloop.Conn) eventloop.Handler {
	f.acceptedConns++
	c := &clientConn{
		server: f, number: f.acceptedConns, conn: conn,
		openRequests: map[uint16]int64{}, incompleteSince: f.loop.Now(), lastRequestAt: f.loop.Now(),
	}
	f.conns[c] = true
	f.memory.clientConns++
	return c
}

// checkConns applies the timeouts to every connection, after it has closed the listener if a shutdown requires
// that. It does so again after connCheckInterval.
func (f *FastCGIServer) checkConns() {
	f.stopAccepting()
	for c := range f.conns {
		f.checkConn(c)
	}
	f.loop.At(f.loop.Now()+connCheckInterval, f.checkConns)
}

// checkConn rejects requests that have been blocked for too long, and closes a connection that is stalled or
// overdue.
func (f *FastCGIServer) checkConn(c *clientConn) {
	c.rejectOverdueBlocked(f.loop.Now())
	c.conn.ObservePeer()
	if c.isStalled() {
		c.closeStalled(eventloop.ErrWriteStalled)
		return
	}
	if !c.conn.Ended() && c.isOverdue() && f.mayClose(c.closeInfo()) {
		c.closeIdle()
	}
}

// stopAccepting closes the listener once a shutdown disconnects clients. A shared socket is closed at once, as
// the other process accepts the connections that still arrive. Closing a socket that is not shared would reset
// the connections in its backlog: they are accepted first, until new requests are rejected anyway.
func (f *FastCGIServer) stopAccepting() {
	if f.lifecycle.phase != Stopping || !f.lifecycle.disconnecting() {
		return
	}
	if !f.sharedSocket {
		f.listener.AcceptPending()
	}
	if f.sharedSocket || !f.listener.HasPending() || f.lifecycle.rejecting() {
		f.listener.Close()
	}
}

// mayClose reports whether a connection can be closed now, and counts a denial.
func (f *FastCGIServer) mayClose(info policy.CloseInfo) bool {
	return f.counters.recordVerdict(actionClose, policy.MayClose(info))
}

// Idle reports whether no client has a connection that must stay open, and none waits to be accepted.
func (f *FastCGIServer) Idle() bool {
	for c := range f.conns {
		if !c.conn.ShutdownDelivered(crossingTime) {
			return false
		}
	}
	return f.sharedSocket || !f.listener.HasPending()
}
