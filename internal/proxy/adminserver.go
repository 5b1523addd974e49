package proxy

import (
	"errors"
	"net/netip"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/http1"
)

const (
	// maxAdminConns bounds the operators' connections: few, so that theirs are never missing to clients.
	maxAdminConns = 16
	// adminCallTimeout is how long a caller may take over its call.
	adminCallTimeout = 2 * time.Second
	// minAdminCallTime is how long it has for it at least, however many others come.
	minAdminCallTime = 50 * time.Millisecond
)

var errAdminCallTimeout = errors.New("call did not come whole in time")

// AdminServer answers the operators, on an address of their own.
type AdminServer struct {
	p     *Proxy
	conns map[*adminConn]bool
}

// ListenAdmin opens the address for operators.
func (p *Proxy) ListenAdmin(addr netip.AddrPort) error {
	a := &AdminServer{p: p, conns: map[*adminConn]bool{}}
	if _, err := p.loop.Listen(addr, a.hasCapacity, a.accept); err != nil {
		return err
	}
	a.closeOverdueConns()
	return nil
}

// hasCapacity closes the first caller that has yet to make its call when there is no place for another: callers that say
// nothing must not keep out those that ask. While none has had its time, others wait to be accepted.
func (a *AdminServer) hasCapacity() bool {
	if len(a.conns) < maxAdminConns {
		return true
	}
	var oldest *adminConn
	for c := range a.conns {
		if a.p.loop.Now()-c.acceptedAt >= minAdminCallTime && (oldest == nil || c.acceptedAt < oldest.acceptedAt) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeOverdue()
	return true
}

func (a *AdminServer) accept(c *eventloop.Conn) eventloop.Handler {
	ac := &adminConn{server: a, conn: c, acceptedAt: a.p.loop.Now()}
	a.conns[ac] = true
	return ac
}

// closeOverdueConns closes the callers that take too long, over their call or over its answer.
func (a *AdminServer) closeOverdueConns() {
	for c := range a.conns {
		if a.p.loop.Now()-c.acceptedAt > adminCallTimeout {
			c.closeOverdue()
		}
	}
	a.p.loop.At(a.p.loop.Now()+adminCallTimeout/10, a.closeOverdueConns)
}

// adminConn is one connection of an operator: one call, one answer.
type adminConn struct {
	server     *AdminServer
	conn       *eventloop.Conn
	acceptedAt eventloop.Timestamp
}

func (c *adminConn) closeOverdue() {
	c.conn.Close()
	c.Closed(errAdminCallTimeout)
}

// Receive waits for a whole call and answers it.
func (c *adminConn) Receive(data []byte) (used int, err error) {
	used, call, err := http1.Decode(data)
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		c.respond(http1.Response{Status: 431})
	case err != nil:
		c.respond(http1.Response{Status: 400, Body: err.Error() + "\n"})
	case used > 0:
		c.respond(c.server.p.operate(call))
	default:
		return 0, nil
	}
	return len(data), nil
}

func (c *adminConn) respond(r http1.Response) {
	c.conn.Write(http1.AppendResponse(nil, r))
	c.conn.CloseAfterFlush()
}

// Closed forgets the connection.
func (c *adminConn) Closed(error) { delete(c.server.conns, c) }

// operations are what operators may call, with the one method of each.
var operations = map[string]struct {
	method string
	run    func(*Proxy) http1.Response
}{
	"/ops/readiness":   {"GET", (*Proxy).readiness},
	"/ops/stats":       {"GET", func(p *Proxy) http1.Response { return http1.Response{Status: 200, Body: p.stats()} }},
	"/ops/drain/start": {"PUT", (*Proxy).startDrain},
	"/ops/drain/stop":  {"PUT", (*Proxy).stopDrain},
}

// operate carries out one call.
func (p *Proxy) operate(call http1.Request) http1.Response {
	op, known := operations[call.Path]
	switch {
	case !known:
		return http1.Response{Status: 404, Body: "no such operation\n"}
	case call.Method != op.method:
		return http1.Response{Status: 405, Allow: op.method}
	}
	return op.run(p)
}

func (p *Proxy) readiness() http1.Response {
	status := 200
	if p.lifecycle.phase != Serving {
		status = 503
	}
	return http1.Response{Status: status, Body: p.lifecycle.phase.String() + "\n"}
}

// startDrain empties the proxy of clients; it goes on running, and may be taken back.
func (p *Proxy) startDrain() http1.Response {
	if p.lifecycle.phase == Serving {
		p.lifecycle.beginDrain(p.open)
	}
	return p.inPhase(Draining)
}

func (p *Proxy) stopDrain() http1.Response {
	if p.lifecycle.phase == Draining {
		p.lifecycle.enter(Serving, p.open)
	}
	return p.inPhase(Serving)
}

// inPhase says whether an order has brought the phase it is to bring.
func (p *Proxy) inPhase(want Phase) http1.Response {
	status := 200
	if p.lifecycle.phase != want {
		status = 409
	}
	return http1.Response{Status: status, Body: p.lifecycle.phase.String() + "\n"}
}
