package relay

import (
	"cloverdoor/internal/fault"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// acceptQueueSize is how many connections may wait to be accepted.
const acceptQueueSize = 128

// linkListener is the listening side of a link. While it refuses, it does not listen; while it stalls, its queue is full, and
// further connects do not come up.
type linkListener struct {
	relay    *Relay
	link     fault.Link
	addr     net.Addr
	mu       sync.Mutex
	listener *net.TCPListener // nil: it refuses
	closed   bool
	changed  chan struct{}       // closed when ln has changed
	fillers  map[string]net.Conn // own connections that fill the queue, by their own address
	accepted int
}

func (r *Relay) openLink(link fault.Link) (*linkListener, error) {
	g := &linkListener{relay: r, link: link, changed: make(chan struct{}), fillers: map[string]net.Conn{}}
	ln, err := net.Listen("tcp", link.Listen.String())
	if err != nil {
		return nil, err
	}
	g.listener, g.addr = ln.(*net.TCPListener), ln.Addr()
	for _, rule := range r.script.Rules {
		if rule.Link == link.Name && (rule.Kind == fault.Refuse || rule.Kind == fault.Stall) && rule.ConnNumber <= 1 {
			r.runAt(r.ctx, max(rule.Trigger.Time, 0), func() { g.block(rule) })
		}
	}
	return g, nil
}

// block keeps new connections out for a time.
func (g *linkListener) block(rule fault.Rule) {
	begin, end := g.refuse, g.reopen
	if rule.Kind == fault.Stall {
		begin, end = g.stall, g.endStall
	}
	begin()
	g.relay.recordAll([]fault.Firing{{Link: g.link.Name, ConnNumber: rule.ConnNumber, Direction: fault.Both, Offset: -1, ScriptLine: rule.ScriptLine, Kind: rule.Kind}})
	g.relay.runAt(g.relay.ctx, g.relay.now()+rule.Duration, end)
}

// setListener changes the listener.
func (g *linkListener) setListener(ln *net.TCPListener) {
	g.listener = ln
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *linkListener) refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		g.listener.Close() //nolint:errcheck // it listens no more in any case
		g.setListener(nil)
	}
}

// reopen opens the address again. Whoever took it meanwhile is tried against until the relay ends.
func (g *linkListener) reopen() {
	for {
		g.mu.Lock()
		if g.listener != nil || g.closed {
			g.mu.Unlock()
			return
		}
		ln, err := net.Listen("tcp", g.addr.String())
		if err == nil {
			g.setListener(ln.(*net.TCPListener))
		}
		g.mu.Unlock()
		if err == nil || !g.relay.sleepUntil(g.relay.ctx, g.relay.now()+10*time.Millisecond) {
			return
		}
	}
}

// setQueueSize sets how many connections may wait; a listening socket takes a new figure.
func (g *linkListener) setQueueSize(n int) error {
	raw, err := g.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), n) })
	return errors.Join(err, failed)
}

// stall makes the queue short and fills it.
func (g *linkListener) stall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener == nil || g.setQueueSize(0) != nil {
		return
	}
	g.listener.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // accepting stops: whoever waits in Accept goes on
	for range 4 {                           // until one does not come up
		c, err := net.DialTimeout("tcp", g.addr.String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		g.fillers[c.LocalAddr().String()] = c
	}
}

func (g *linkListener) endStall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		g.setQueueSize(acceptQueueSize)     //nolint:errcheck // it stays short then
		g.listener.SetDeadline(time.Time{}) //nolint:errcheck // a live listener takes it
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

func (g *linkListener) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.listener != nil {
		g.listener.Close() //nolint:errcheck // it listens no more in any case
	}
	for _, c := range g.fillers {
		c.Close() //nolint:errcheck // its end is what counts
	}
}

// serve accepts until the relay ends.
func (g *linkListener) serve() {
	for g.relay.ctx.Err() == nil {
		g.mu.Lock()
		ln, changed := g.listener, g.changed
		g.mu.Unlock()
		var conn *net.TCPConn
		err := net.ErrClosed
		if ln != nil {
			conn, err = ln.AcceptTCP()
		}
		if err != nil {
			g.awaitChange(changed)
			continue
		}
		g.handle(conn)
	}
}

// awaitChange waits for the listener to change.
func (g *linkListener) awaitChange(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-g.relay.ctx.Done():
	case <-time.After(20 * time.Millisecond): // the change may have come before the accept ended
	}
}

// handle relays a connection, unless it is one that filled the queue.
func (g *linkListener) handle(conn *net.TCPConn) {
	g.mu.Lock()
	own := g.fillers[conn.RemoteAddr().String()]
	delete(g.fillers, conn.RemoteAddr().String())
	if own == nil {
		g.accepted++
	}
	number := g.accepted
	g.mu.Unlock()
	if own != nil {
		own.Close()  //nolint:errcheck // its end is what counts
		conn.Close() //nolint:errcheck // as above
		return
	}
	for _, rule := range g.relay.script.Rules {
		if rule.Link == g.link.Name && (rule.Kind == fault.Refuse || rule.Kind == fault.Stall) && rule.ConnNumber == number+1 {
			g.block(rule) // before anybody can connect next
		}
	}
	g.relay.goroutines.Go(func() { g.relay.relayConn(g.link, number, conn) })
}
