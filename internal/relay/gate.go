package relay

import (
	"errors"
	"net"
	"sync"
	"time"

	"cloverdoor/internal/fault"

	"golang.org/x/sys/unix"
)

// queueSize is how many connections may wait to be accepted.
const queueSize = 128

// gate is the listening side of a link. While it refuses, it does not listen; while it stalls, its queue is full, and
// further connects do not come up.
type gate struct {
	relay  *Relay
	link   fault.Link
	addr   net.Addr
	mu     sync.Mutex
	ln     *net.TCPListener // nil: it refuses
	shuts  bool
	change chan struct{}       // closed when ln has changed
	fill   map[string]net.Conn // own connections that fill the queue, by their own address
	count  int
}

func (r *Relay) open(link fault.Link) (*gate, error) {
	g := &gate{relay: r, link: link, change: make(chan struct{}), fill: map[string]net.Conn{}}
	ln, err := net.Listen("tcp", link.Listen.String())
	if err != nil {
		return nil, err
	}
	g.ln, g.addr = ln.(*net.TCPListener), ln.Addr()
	for _, rule := range r.script.Rules {
		if rule.Link == link.Name && (rule.Kind == fault.Refuse || rule.Kind == fault.Stall) && rule.ConnNumber <= 1 {
			r.at(r.ctx, max(rule.Trigger.Time, 0), func() { g.bar(rule) })
		}
	}
	return g, nil
}

// bar keeps new connections out for a time.
func (g *gate) bar(rule fault.Rule) {
	begin, end := g.refuse, g.listen
	if rule.Kind == fault.Stall {
		begin, end = g.stall, g.unstall
	}
	begin()
	g.relay.log([]fault.Firing{{Link: g.link.Name, ConnNumber: rule.ConnNumber, Direction: fault.Both, Offset: -1, ScriptLine: rule.ScriptLine, Kind: rule.Kind}})
	g.relay.at(g.relay.ctx, g.relay.now()+rule.Duration, end)
}

// set changes the listener.
func (g *gate) set(ln *net.TCPListener) {
	g.ln = ln
	close(g.change)
	g.change = make(chan struct{})
}

func (g *gate) refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln != nil {
		g.ln.Close() //nolint:errcheck // it listens no more in any case
		g.set(nil)
	}
}

// listen opens the address again. Whoever took it meanwhile is tried against until the relay ends.
func (g *gate) listen() {
	for {
		g.mu.Lock()
		if g.ln != nil || g.shuts {
			g.mu.Unlock()
			return
		}
		ln, err := net.Listen("tcp", g.addr.String())
		if err == nil {
			g.set(ln.(*net.TCPListener))
		}
		g.mu.Unlock()
		if err == nil || !g.relay.sleep(g.relay.ctx, g.relay.now()+10*time.Millisecond) {
			return
		}
	}
}

// backlog sets how many connections may wait; a listening socket takes a new figure.
func (g *gate) backlog(n int) error {
	raw, err := g.ln.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), n) })
	return errors.Join(err, failed)
}

// stall makes the queue short and fills it.
func (g *gate) stall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln == nil || g.backlog(0) != nil {
		return
	}
	g.ln.SetDeadline(time.Unix(1, 0)) //nolint:errcheck // accepting stops: whoever waits in Accept goes on
	for range 4 {                     // until one does not come up
		c, err := net.DialTimeout("tcp", g.addr.String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		g.fill[c.LocalAddr().String()] = c
	}
}

func (g *gate) unstall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln != nil {
		g.backlog(queueSize)          //nolint:errcheck // it stays short then
		g.ln.SetDeadline(time.Time{}) //nolint:errcheck // a live listener takes it
		close(g.change)
		g.change = make(chan struct{})
	}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shuts = true
	if g.ln != nil {
		g.ln.Close() //nolint:errcheck // it listens no more in any case
	}
	for _, c := range g.fill {
		c.Close() //nolint:errcheck // its end is what counts
	}
}

// serve accepts until the relay ends.
func (g *gate) serve() {
	for g.relay.ctx.Err() == nil {
		g.mu.Lock()
		ln, changed := g.ln, g.change
		g.mu.Unlock()
		var conn *net.TCPConn
		err := net.ErrClosed
		if ln != nil {
			conn, err = ln.AcceptTCP()
		}
		if err != nil {
			g.wait(changed)
			continue
		}
		g.take(conn)
	}
}

// wait waits for the listener to change.
func (g *gate) wait(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-g.relay.ctx.Done():
	case <-time.After(20 * time.Millisecond): // the change may have come before the accept ended
	}
}

// take relays a connection, unless it is one that filled the queue.
func (g *gate) take(conn *net.TCPConn) {
	g.mu.Lock()
	own := g.fill[conn.RemoteAddr().String()]
	delete(g.fill, conn.RemoteAddr().String())
	if own == nil {
		g.count++
	}
	number := g.count
	g.mu.Unlock()
	if own != nil {
		own.Close()  //nolint:errcheck // its end is what counts
		conn.Close() //nolint:errcheck // as above
		return
	}
	for _, rule := range g.relay.script.Rules {
		if rule.Link == g.link.Name && (rule.Kind == fault.Refuse || rule.Kind == fault.Stall) && rule.ConnNumber == number+1 {
			g.bar(rule) // before anybody can connect next
		}
	}
	g.relay.done.Go(func() { g.relay.relay(g.link, number, conn) })
}
