// Package relay carries out a plan of faults on TCP connections on loopback. One goroutine reads each direction of a
// connection and one writes it; what lies between them is bounded, so that a stalled reader holds up its own connection
// alone.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"cloverdoor/internal/fault"
)

const (
	readSize    = 16 << 10
	mostPending = 32 // outputs of one direction that wait for their time, of readSize at most
	dialTimeout = 5 * time.Second
)

// Relay is a script that is being carried out.
type Relay struct {
	script *fault.Script
	record func(fault.Firing)
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	gates  []*gate
	mu     sync.Mutex // of record
}

// Start listens on every link of a script. Each fault that fires is recorded, one at a time. Nothing stays open when it
// fails.
func Start(script *fault.Script, record func(fault.Firing)) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{script: script, record: record, start: time.Now(), ctx: ctx, cancel: cancel}
	for _, link := range script.Links {
		g, err := r.open(link)
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("link %s: %w", link.Name, err)
		}
		r.gates = append(r.gates, g)
	}
	for _, g := range r.gates {
		r.done.Go(g.serve)
	}
	return r, nil
}

// Addr is where a link listens, also where the script left the port open.
func (r *Relay) Addr(link string) net.Addr {
	for _, g := range r.gates {
		if g.link.Name == link {
			return g.addr
		}
	}
	return nil
}

// Close ends all links and connections, and waits for them.
func (r *Relay) Close() {
	r.cancel()
	for _, g := range r.gates {
		g.shut()
	}
	r.done.Wait()
}

// now is the time since the start, by which scripts count.
func (r *Relay) now() time.Duration { return time.Since(r.start) }

func (r *Relay) log(events []fault.Firing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.record(e)
	}
}

// at runs f at a time since the start, unless the relay or ctx ends first.
func (r *Relay) at(ctx context.Context, due time.Duration, f func()) {
	r.done.Go(func() {
		if r.sleep(ctx, due) {
			f()
		}
	})
}

// sleep waits until a time since the start, and says whether it came.
func (r *Relay) sleep(ctx context.Context, due time.Duration) bool {
	wait := due - r.now()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pair is one relayed connection.
type pair struct {
	relay  *Relay
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex // of plan
	plan   *fault.ConnPlan
	ends   [2]*net.TCPConn // of whoever connected, of the target
	once   sync.Once
}

// relay carries one connection until both directions have ended.
func (r *Relay) relay(link fault.Link, number int, client *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(r.ctx, "tcp", link.Target.String())
	if err != nil { // the target's refusal is passed on as a reset: the connection has come up already
		reset(client)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	p := &pair{relay: r, ctx: ctx, cancel: cancel, plan: r.script.PlanConn(link.Name, number, r.now()),
		ends: [2]*net.TCPConn{client, conn.(*net.TCPConn)}}
	context.AfterFunc(ctx, func() { p.end(fault.EndClosed) })
	defer cancel()
	r.log(p.plan.TakeFirings())
	var both sync.WaitGroup
	for _, d := range []fault.Direction{fault.Up, fault.Down} {
		both.Go(func() { p.carry(d) })
	}
	both.Wait()
}

// carry reads one direction, and writes what the plan makes of it.
func (p *pair) carry(d fault.Direction) {
	from, to := p.ends[0], p.ends[1]
	if d == fault.Down {
		from, to = to, from
	}
	ops := make(chan fault.Output, mostPending)
	stream := p.plan.Stream(d)
	p.fire(stream, to)
	for _, at := range p.timed(stream) {
		p.relay.at(p.ctx, at, func() { p.fire(stream, to) })
	}
	var writer sync.WaitGroup
	writer.Go(func() { p.write(to, ops) })
	p.read(from, stream, ops)
	close(ops)
	writer.Wait()
}

func (p *pair) timed(s *fault.StreamPlan) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.PendingTimes()
}

// fire looks at the rules by time while nothing comes. What ends the stream ends it here: the reader may be blocked.
func (p *pair) fire(s *fault.StreamPlan, to *net.TCPConn) {
	p.mu.Lock()
	ops := s.Advance(p.relay.now())
	events := p.plan.TakeFirings()
	p.mu.Unlock()
	p.relay.log(events)
	for _, op := range ops {
		p.finish(to, op.Ending)
	}
}

func (p *pair) read(from *net.TCPConn, s *fault.StreamPlan, ops chan<- fault.Output) {
	buffer := make([]byte, readSize)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		out := s.Feed(buffer[:n], p.relay.now())
		if err != nil {
			out = append(out, s.CloseInput(p.relay.now())...)
		}
		events := p.plan.TakeFirings()
		p.mu.Unlock()
		p.relay.log(events)
		if err != nil && !errors.Is(err, io.EOF) { // a reset is passed on as one
			p.end(fault.EndReset)
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

func (p *pair) write(to *net.TCPConn, ops <-chan fault.Output) {
	for op := range ops {
		if !p.relay.sleep(p.ctx, op.Due) {
			return
		}
		if len(op.Data) > 0 {
			if _, err := to.Write(op.Data); err != nil {
				p.end(fault.EndReset)
				return
			}
		}
		p.finish(to, op.Ending)
	}
}

// finish ends one direction as the plan has it.
func (p *pair) finish(to *net.TCPConn, how fault.Ending) {
	switch how {
	case fault.NotEnded:
	case fault.EndHalfClosed:
		to.CloseWrite() //nolint:errcheck // it may have ended
	default:
		p.end(how)
	}
}

// end ends both sides of the connection, once.
func (p *pair) end(how fault.Ending) {
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
