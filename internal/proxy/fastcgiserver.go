package proxy

import (
	"errors"
	"net/netip"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

const (
	healthPath    = "/alive"
	operationPath = "/ops/"
	// writeStallTimeout is how long a client may take nothing of what it is owed before its connection is closed.
	writeStallTimeout = 10 * time.Second
	// criticalWriteStallTimeout is the same where the memory is full.
	criticalWriteStallTimeout = 200 * time.Millisecond
	// idleTimeout is when a connection that brings nothing and is owed nothing is closed. Clients close theirs
	// after 4 s, so one that stays would keep its descriptor for good.
	idleTimeout = 5 * time.Second
	// requestPauseTimeout is how long a client may pause over its first request, or over the rest of one, and wholeAtMost how
	// long it may take in all: some write slowly.
	requestPauseTimeout = 2 * time.Second
	requestReadTimeout  = 10 * time.Second
	// evictPartialAfter is when one that paused in the middle of a request may have to make room for another: it would lose
	// its request.
	evictPartialAfter = 250 * time.Millisecond
	// disconnectGrace is how long after a client has left what it asked for is given up. Nothing may begin for it after
	// 0.1 s; at once would take the answers from one that has only ended its own side.
	disconnectGrace = 80 * time.Millisecond
	// clientPollInterval is how long a turn lasts before clients are looked at once more: what was heard of them is too old then.
	clientPollInterval = 30 * time.Millisecond
	// minSkippedBytes is from which size on the beginning of a record is not kept where the memory is full. What begins a request is
	// shorter.
	minSkippedBytes = 1 << 10
	// backpressureBytes is how many bytes of answers a client may leave unread before its further requests wait.
	backpressureBytes = 1 << 20
	// evictIdleAfter is the same for one that is owed nothing: a request that crosses the close within 50 ms is sent
	// again. With a longer time, clients that ask once and stay, a few hundred a second, would hold all places for as
	// long, and others would wait to be accepted.
	evictIdleAfter = 100 * time.Millisecond
	// evictSilentAfter is the same for one that has said nothing yet: a client that means well asks as soon as it is
	// connected.
	evictSilentAfter = 50 * time.Millisecond
)

var errMemoryLimit = errors.New("memory for clients is used up")

// FastCGIServer speaks FastCGI with the clients. A front for a second protocol would stand beside it and hand the same
// Requests to Submit.
type FastCGIServer struct {
	p             *Proxy
	listener      *eventloop.Listener
	sharedSocket  bool // another process may accept from the same socket
	conns         map[*clientConn]bool
	blockedConns  map[*clientConn]bool // those with parked requests
	maxConns      int
	acceptedConns int64 // connections so far
}

// Listen opens the front for clients on addr.
func (p *Proxy) Listen(addr netip.AddrPort, most int) error {
	f := p.newFastCGIServer(most)
	ln, err := p.loop.Listen(addr, f.hasCapacity, f.accept)
	return f.start(ln, err)
}

// ListenOn opens the front for clients on a listening socket that the platform holds. Another process may take over
// from this one on it, and both accept for a while.
func (p *Proxy) ListenOn(fd, most int) error {
	f := p.newFastCGIServer(most)
	f.sharedSocket = true
	ln, err := p.loop.ListenOn(fd, f.hasCapacity, f.accept)
	return f.start(ln, err)
}

func (p *Proxy) newFastCGIServer(most int) *FastCGIServer {
	return &FastCGIServer{p: p, conns: map[*clientConn]bool{}, blockedConns: map[*clientConn]bool{}, maxConns: most}
}

func (f *FastCGIServer) start(ln *eventloop.Listener, err error) error {
	if err != nil {
		return err
	}
	f.listener = ln
	f.p.fastcgiServers = append(f.p.fastcgiServers, f)
	f.checkConns()
	return nil
}

func (f *FastCGIServer) accept(c *eventloop.Conn) eventloop.Handler {
	f.acceptedConns++
	cc := &clientConn{server: f, number: f.acceptedConns, conn: c, openRequests: map[uint16]int64{}, incompleteSince: f.p.loop.Now()}
	f.conns[cc] = true
	return cc
}

// checkConns looks after connections now and then: those whose peer takes nothing, asks nothing or has vanished are
// closed.
func (f *FastCGIServer) checkConns() {
	f.stopAccepting()
	for c := range f.conns {
		c.rejectBlocked(f.p.loop.Now())
		bytes, _ := c.conn.QueuedOutput()
		switch {
		case c.isStalledFor(writeStallTimeout), f.memoryCritical() && c.isStalledFor(criticalWriteStallTimeout):
			f.p.log.Info("client's connection closed, it takes nothing", "connection", c.number, "bytes", bytes)
			c.conn.Close()
			c.Closed(eventloop.ErrWriteStalled)
		case !c.conn.Ended() && c.isOverdue() && f.mayClose(policy.CloseInfo{OpenRequests: len(c.openRequests), HasUnreadInput: c.conn.HasUnreadInput}):
			c.conn.CloseAfterFlush()
		}
	}
	f.p.loop.At(f.p.loop.Now()+longestNap, f.checkConns)
}

// stopAccepting lets no further clients in once they have stopped coming. A shared socket is left at once: what still comes to it waits
// for the process that takes over. On its own one, what waits to be accepted would be reset: that is taken first, also when
// accepting fails for a while.
func (f *FastCGIServer) stopAccepting() {
	if f.p.lifecycle.phase != Stopping || !f.p.lifecycle.disconnecting() {
		return
	}
	if !f.sharedSocket {
		f.listener.AcceptPending()
	}
	if f.sharedSocket || !f.listener.HasPending() || f.p.lifecycle.rejecting() {
		f.listener.Close()
	}
}

// closeDrainedConns closes, while clients are to leave, the connections that are empty now. It comes at the end of a turn, when
// all that has come was taken and all answers have been written and have arrived: what a client sends while its
// connection is closed but still brings output would be lost.
func (f *FastCGIServer) closeDrainedConns() {
	for c := range f.conns {
		if c.conn.Ended() {
			continue
		}
		bytes, _ := c.conn.QueuedOutput()
		verdict := policy.MayClose(policy.CloseInfo{OpenRequests: len(c.openRequests), QueuedBytes: bytes, PartialRequest: c.hasPartialRequest(), InUse: c.expectsRequest(),
			HasUnreadInput: c.conn.HasUnreadInput, UnackedBytes: c.conn.UnackedBytes})
		if verdict.Allowed() { // else it is asked again in the next turn
			c.conn.CloseAfterFlush()
		}
	}
}

// Idle says whether no client is connected any more, or waits to be.
func (f *FastCGIServer) Idle() bool {
	return len(f.conns) == 0 && (f.sharedSocket || !f.listener.HasPending())
}

// memoryCritical says that clients and caches hold more than may be: what only holds memory has to go.
func (f *FastCGIServer) memoryCritical() bool { return f.p.memory.critical() }

// mayClose says whether a connection can be closed now, and counts where it can't.
func (f *FastCGIServer) mayClose(c policy.CloseInfo) bool {
	return f.p.counters.allows(actionClose, policy.MayClose(c))
}
