package proxy

import (
	"errors"
	"net/netip"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

const (
	healthPath = "/alive"
	opsPath    = "/ops/"
	// stuckAfter is how long a client may take nothing of what it is owed before its connection is closed.
	stuckAfter = 10 * time.Second
	// unreadAfter is the same where the memory is full.
	unreadAfter = 200 * time.Millisecond
	// idleAfter is when a connection that brings nothing and is owed nothing is closed. Clients close theirs
	// after 4 s, so one that stays would keep its descriptor for good.
	idleAfter = 5 * time.Second
	// wholeAfter is how long a client may pause over its first request, or over the rest of one, and wholeAtMost how
	// long it may take in all: some write slowly.
	wholeAfter  = 2 * time.Second
	wholeAtMost = 10 * time.Second
	// evictPartialAfter is when one that paused in the middle of a request may have to make room for another: it would lose
	// its request.
	evictPartialAfter = 250 * time.Millisecond
	// goneAfter is how long after a client has left what it asked for is given up. Nothing may begin for it after
	// 0.1 s; at once would take the answers from one that has only ended its own side.
	goneAfter = 80 * time.Millisecond
	// lookAgainAfter is how long a turn lasts before clients are looked at once more: what was heard of them is too old then.
	lookAgainAfter = 30 * time.Millisecond
	// leastSkipped is from which size on the beginning of a record is not kept where the memory is full. What begins a request is
	// shorter.
	leastSkipped = 1 << 10
	// backpressureAt is how many bytes of answers a client may leave unread before its further requests wait.
	backpressureAt = 1 << 20
	// evictIdleAfter is the same for one that is owed nothing: a request that crosses the close within 50 ms is sent
	// again. With a longer time, clients that ask once and stay, a few hundred a second, would hold all places for as
	// long, and others would wait to be accepted.
	evictIdleAfter = 100 * time.Millisecond
	// evictSilentAfter is the same for one that has said nothing yet: a client that means well asks as soon as it is
	// connected.
	evictSilentAfter = 50 * time.Millisecond
)

var errFull = errors.New("memory for clients is used up")

// FastCGIServer speaks FastCGI with the clients. A front for a second protocol would stand beside it and hand the same
// Requests to Submit.
type FastCGIServer struct {
	p        *Proxy
	listener *eventloop.Listener
	shared   bool // another process may accept from the same socket
	conns    map[*clientConn]bool
	parking  map[*clientConn]bool // those with parked requests
	most     int
	accepted int64 // connections so far
}

// Listen opens the front for clients on addr.
func (p *Proxy) Listen(addr netip.AddrPort, most int) error {
	f := p.newFront(most)
	ln, err := p.loop.Listen(addr, f.room, f.accept)
	return f.open(ln, err)
}

// ListenOn opens the front for clients on a listening socket that the platform holds. Another process may take over
// from this one on it, and both accept for a while.
func (p *Proxy) ListenOn(fd, most int) error {
	f := p.newFront(most)
	f.shared = true
	ln, err := p.loop.ListenOn(fd, f.room, f.accept)
	return f.open(ln, err)
}

func (p *Proxy) newFront(most int) *FastCGIServer {
	return &FastCGIServer{p: p, conns: map[*clientConn]bool{}, parking: map[*clientConn]bool{}, most: most}
}

func (f *FastCGIServer) open(ln *eventloop.Listener, err error) error {
	if err != nil {
		return err
	}
	f.listener = ln
	f.p.fastcgiServers = append(f.p.fastcgiServers, f)
	f.watch()
	return nil
}

// room says whether one more client may connect. When they hold all descriptors that they may, the one that is
// missed least has to go: one that has said nothing yet for a while, else the one longest idle, as a request
// that crosses the close is sent again. Otherwise clients that connect and say nothing, or ask once and
// stay, would keep out all others.
func (f *FastCGIServer) room() bool {
	if len(f.conns) < f.most {
		return true
	}
	var spare *clientConn
	unread := map[*clientConn]bool{}
	for {
		for c := range f.conns {
			if !unread[c] && c.evictable() && (spare == nil || c.evictBefore(spare)) {
				spare = c
			}
		}
		if spare == nil {
			return false
		}
		if f.mayClose(policy.CloseInfo{OpenRequests: len(spare.open), HasUnreadInput: spare.conn.HasUnreadInput}) {
			break
		}
		unread[spare], spare = true, nil
	}
	f.p.log.Info("client's connection closed to make room", "connection", spare.number, "idle", spare.idle())
	spare.conn.Close()
	spare.Closed(nil)
	return true
}

func (f *FastCGIServer) accept(c *eventloop.Conn) eventloop.Handler {
	f.accepted++
	cc := &clientConn{front: f, number: f.accepted, conn: c, open: map[uint16]int64{}, incompleteSince: f.p.loop.Now()}
	f.conns[cc] = true
	return cc
}

// watch looks after connections now and then: those whose peer takes nothing, asks nothing or has vanished are
// closed.
func (f *FastCGIServer) watch() {
	f.leave()
	for c := range f.conns {
		c.refuseParked(f.p.loop.Now())
		bytes, _ := c.conn.QueuedOutput()
		switch {
		case c.unreadSince(stuckAfter), f.memoryFull() && c.unreadSince(unreadAfter):
			f.p.log.Info("client's connection closed, it takes nothing", "connection", c.number, "bytes", bytes)
			c.conn.Close()
			c.Closed(eventloop.ErrWriteStalled)
		case !c.conn.Ended() && c.overdue() && f.mayClose(policy.CloseInfo{OpenRequests: len(c.open), HasUnreadInput: c.conn.HasUnreadInput}):
			c.conn.CloseAfterFlush()
		}
	}
	f.p.loop.At(f.p.loop.Now()+maxPollTime, f.watch)
}

// leave lets no further clients in once they have stopped coming. A shared socket is left at once: what still comes to it waits
// for the process that takes over. On its own one, what waits to be accepted would be reset: that is taken first, also when
// accepting fails for a while.
func (f *FastCGIServer) leave() {
	if f.p.lifecycle.phase != Stopping || !f.p.lifecycle.disconnecting() {
		return
	}
	if !f.shared {
		f.listener.AcceptPending()
	}
	if f.shared || !f.listener.HasPending() || f.p.lifecycle.rejecting() {
		f.listener.Close()
	}
}

// memoryFull says that clients and caches hold more than may be: what only holds memory has to go.
func (f *FastCGIServer) memoryFull() bool { return f.p.memory.critical() }

// mayClose says whether a connection can be closed now, and counts where it can't.
func (f *FastCGIServer) mayClose(c policy.CloseInfo) bool {
	return f.p.counters.allows(actionClose, policy.MayClose(c))
}

// closeDrained closes, while clients are to leave, the connections that are empty now. It comes at the end of a turn, when
// all that has come was taken and all answers have been written and have arrived: what a client sends while its
// connection is closed but still brings output would be lost.
func (f *FastCGIServer) closeDrained() {
	for c := range f.conns {
		if c.conn.Ended() {
			continue
		}
		bytes, _ := c.conn.QueuedOutput()
		verdict := policy.MayClose(policy.CloseInfo{OpenRequests: len(c.open), QueuedBytes: bytes, PartialRequest: c.midRequest(), InUse: c.asking(),
			HasUnreadInput: c.conn.HasUnreadInput, UnackedBytes: c.conn.UnackedBytes})
		if verdict.Allowed() { // else it is asked again in the next turn
			c.conn.CloseAfterFlush()
		}
	}
}

// Idle says whether no client is connected any more, or waits to be.
func (f *FastCGIServer) Idle() bool {
	return len(f.conns) == 0 && (f.shared || !f.listener.HasPending())
}

// unpark takes on what was parked, as far as clients have read meanwhile.
func (f *FastCGIServer) unpark() {
	for c := range f.parking {
		for len(c.parked) > 0 && !c.full() {
			r := c.unpark()
			to := &responder{conn: c, id: r.request.ID}
			in, err := f.parse(r.request) // once more: classes may have changed
			if err != nil {
				f.p.rejectUnsubmitted(r.in, to, Answer{Status: Rejected, RetryAfter: closingRetryAfter})
				continue
			}
			in.Timeout -= f.p.loop.Now() - r.at
			c.serve(in, to)
		}
	}
}

func tagHeader(tag string) [][2]string {
	if !isHex(tag) {
		return nil
	}
	return [][2]string{{"X-Ver", tag}}
}
