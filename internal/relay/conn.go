package relay

import (
	"cloverdoor/internal/fault"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// relayedConn is one relayed connection.
type relayedConn struct {
	relay  *Relay
	ctx    context.Context
	cancel context.CancelFunc
	planMu sync.Mutex // of plan
	plan   *fault.ConnPlan
	ends   [2]*net.TCPConn // of whoever connected, of the target
	once   sync.Once
}

// relayConn carries one connection until both directions have ended.
func (r *Relay) relayConn(link fault.Link, number int, client *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(r.ctx, "tcp", link.Target.String())
	if err != nil { // the target's refusal is passed on as a reset: the connection has come up already
		reset(client)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	p := &relayedConn{relay: r, ctx: ctx, cancel: cancel, plan: r.script.PlanConn(link.Name, number, r.now()),
		ends: [2]*net.TCPConn{client, conn.(*net.TCPConn)}}
	context.AfterFunc(ctx, func() { p.close(fault.EndClosed) })
	defer cancel()
	r.recordAll(p.plan.TakeFirings())
	var both sync.WaitGroup
	for _, d := range []fault.Direction{fault.Up, fault.Down} {
		both.Go(func() { p.relayDirection(d) })
	}
	both.Wait()
}

// relayDirection reads one direction, and writes what the plan makes of it.
func (p *relayedConn) relayDirection(d fault.Direction) {
	from, to := p.ends[0], p.ends[1]
	if d == fault.Down {
		from, to = to, from
	}
	ops := make(chan fault.Output, maxPendingOutputs)
	stream := p.plan.Stream(d)
	p.fireDue(stream, to)
	for _, at := range p.pendingTimes(stream) {
		p.relay.runAt(p.ctx, at, func() { p.fireDue(stream, to) })
	}
	var writer sync.WaitGroup
	writer.Go(func() { p.write(to, ops) })
	p.read(from, stream, ops)
	close(ops)
	writer.Wait()
}

func (p *relayedConn) pendingTimes(s *fault.StreamPlan) []time.Duration {
	p.planMu.Lock()
	defer p.planMu.Unlock()
	return s.PendingTimes()
}

// fireDue looks at the rules by time while nothing comes. What ends the stream ends it here: the reader may be blocked.
func (p *relayedConn) fireDue(s *fault.StreamPlan, to *net.TCPConn) {
	p.planMu.Lock()
	ops := s.Advance(p.relay.now())
	events := p.plan.TakeFirings()
	p.planMu.Unlock()
	p.relay.recordAll(events)
	for _, op := range ops {
		p.applyEnding(to, op.Ending)
	}
}

func (p *relayedConn) read(from *net.TCPConn, s *fault.StreamPlan, ops chan<- fault.Output) {
	buffer := make([]byte, readBufferSize)
	for {
		n, err := from.Read(buffer)
		p.planMu.Lock()
		out := s.Feed(buffer[:n], p.relay.now())
		if err != nil {
			out = append(out, s.CloseInput(p.relay.now())...)
		}
		events := p.plan.TakeFirings()
		p.planMu.Unlock()
		p.relay.recordAll(events)
		if err != nil && !errors.Is(err, io.EOF) { // a reset is passed on as one
			p.close(fault.EndReset)
			return
		}
		for _, op := range out {
			select {
			case ops <- op:
			case <-p.ctx.Done():
				return
			}
			if op.Ending != fault.NotEnded {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *relayedConn) write(to *net.TCPConn, ops <-chan fault.Output) {
	for op := range ops {
		if !p.relay.sleepUntil(p.ctx, op.Due) {
			return
		}
		if len(op.Data) > 0 {
			if _, err := to.Write(op.Data); err != nil {
				p.close(fault.EndReset)
				return
			}
		}
		p.applyEnding(to, op.Ending)
	}
}

// applyEnding ends one direction as the plan has it.
func (p *relayedConn) applyEnding(to *net.TCPConn, how fault.Ending) {
	switch how {
	case fault.NotEnded:
	case fault.EndHalfClosed:
		to.CloseWrite() //nolint:errcheck // it may have ended
	default:
		p.close(how)
	}
}

// close ends both sides of the connection, once.
func (p *relayedConn) close(how fault.Ending) {
	p.once.Do(func() {
		for _, c := range p.ends {
			if how == fault.EndReset {
				reset(c)
			} else {
				c.Close() //nolint:errcheck // it may have ended
			}
		}
		p.cancel()
	})
}

// reset ends a connection with RST.
func reset(c *net.TCPConn) {
	c.SetLinger(0) //nolint:errcheck // it may have ended
	c.Close()      //nolint:errcheck // as above
}
