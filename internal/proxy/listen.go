package proxy

// This file opens the proxy's servers.

import (
	"net/netip"

	"cloverdoor/internal/eventloop"
)

// Listen opens a FastCGI server on addr that holds at most maxConns connections of clients.
func (p *Proxy) Listen(addr netip.AddrPort, maxConns int) error {
	f := p.newFastCGIServer(maxConns)
	ln, err := p.loop.Listen(addr, f.ensureCapacity, f.accept)
	if err != nil {
		return err
	}
	p.addFastCGIServer(f, ln)
	return nil
}

// ListenOn opens a FastCGI server on a listening socket that was passed to the process. Another process may
// take over from this one on the same socket, in which case both accept connections for a while.
func (p *Proxy) ListenOn(fd, maxConns int) error {
	f := p.newFastCGIServer(maxConns)
	f.sharedSocket = true
	ln, err := p.loop.ListenOn(fd, f.ensureCapacity, f.accept)
	if err != nil {
		return err
	}
	p.addFastCGIServer(f, ln)
	return nil
}

// newFastCGIServer returns a server that does not listen yet.
func (p *Proxy) newFastCGIServer(maxConns int) *FastCGIServer {
	return &FastCGIServer{
		handler:      p,
		loop:         p.loop,
		log:          p.log,
		lifecycle:    p.lifecycle,
		memory:       p.memory,
		counters:     p.counters,
		conns:        map[*clientConn]bool{},
		blockedConns: map[*clientConn]bool{},
		maxConns:     maxConns,
	}
}

// addFastCGIServer starts a server on its listener.
func (p *Proxy) addFastCGIServer(f *FastCGIServer, ln *eventloop.Listener) {
	p.fastcgiServers = append(p.fastcgiServers, f)
	f.start(ln)
}

// ListenAdmin opens the admin server on addr.
func (p *Proxy) ListenAdmin(addr netip.AddrPort) error {
	a := &AdminServer{handler: p, loop: p.loop, conns: map[*adminConn]bool{}}
	_, err := p.loop.Listen(addr, a.ensureCapacity, a.accept)
	if err != nil {
		return err
	}
	a.closeOverdueConns()
	return nil
}
