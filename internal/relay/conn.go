package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"cloverdoor/internal/fault"
)

const (
	readBufferSize = 16 << 10 // bytes
	dialTimeout    = 5 * time.Second
)

// relayedConn is one relayed connection. It owns the sockets to the client and to the target; close closes both.
type relayedConn struct {
	relay     *Relay
	ctx       context.Context // ends when the connection or the relay is closed
	cancel    context.CancelFunc
	planMu    sync.Mutex
	plan      *fault.ConnPlan // guarded by planMu
	client    *net.TCPConn
	target    *net.TCPConn
	closeOnce sync.Once
}

// relayConn relays one accepted connection until both directions have ended. If the target can't be reached, it
// resets the client's connection, which is already established and can't be refused any more.
func (r *Relay) relayConn(link fault.Link, number int, client *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(r.ctx, "tcp", link.Target.String())
	if err != nil {
		reset(client)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	c := &relayedConn{
		relay: r, ctx: ctx, cancel: cancel, plan: r.script.PlanConn(link.Name, number, r.now()),
		client: client, target: target.(*net.TCPConn),
	}
	context.AfterFunc(ctx, func() { c.close(fault.EndClosed) })
	r.recordAll(c.plan.TakeFirings())
	var directions sync.WaitGroup
	directions.Go(func() { c.relayDirection(fault.Up, c.client, c.target) })
	directions.Go(func() { c.relayDirection(fault.Down, c.target, c.client) })
	directions.Wait()
}

// relayDirection reads one direction until it ends, while a second goroutine writes the output that the plan
// returns. It returns when both goroutines have ended.
func (c *relayedConn) relayDirection(d fault.Direction, src, dst *net.TCPConn) {
	queue := newOutputQueue()
	stream := c.plan.Stream(d)
	var writer sync.WaitGroup
	writer.Go(func() { c.write(dst, queue) })
	c.fireDue(stream, queue)
	for _, due := range c.pendingTimes(stream) {
		c.relay.runAt(c.ctx, due, func() { c.fireDue(stream, queue) })
	}
	c.read(src, stream, queue)
	queue.close()
	writer.Wait()
}

func (c *relayedConn) pendingTimes(s *fault.StreamPlan) []time.Duration {
	c.planMu.Lock()
	defer c.planMu.Unlock()
	return s.PendingTimes()
}

// fireDue fires the timed rules that are due. A reset takes effect at once, any other ending when the writer reaches
// it, after the output that is still pending.
func (c *relayedConn) fireDue(s *fault.StreamPlan, queue *outputQueue) {
	c.planMu.Lock()
	outputs := s.Advance(c.relay.now())
	firings := c.plan.TakeFirings()
	c.planMu.Unlock()
	c.relay.recordAll(firings)
	for _, o := range outputs {
		if o.Ending == fault.EndReset {
			c.close(fault.EndReset)
		}
	}
	c.enqueue(outputs, queue)
}

// read reads one direction, and enqueues the output that the plan returns, until the stream or the connection ends.
func (c *relayedConn) read(src *net.TCPConn, s *fault.StreamPlan, queue *outputQueue) {
	buffer := make([]byte, readBufferSize)
	for {
		n, err := src.Read(buffer)
		outputs := c.feed(s, buffer[:n], err != nil)
		if err != nil && !errors.Is(err, io.EOF) {
			c.close(fault.EndReset) // the other end gets a reset too
			return
		}
		if !c.enqueue(outputs, queue) || err != nil {
			return
		}
	}
}

// feed passes what was read to the plan, records the faults that fire, and returns the output to write.
func (c *relayedConn) feed(s *fault.StreamPlan, data []byte, inputEnded bool) []fault.Output {
	c.planMu.Lock()
	outputs := s.Feed(data, c.relay.now())
	if inputEnded {
		outputs = append(outputs, s.CloseInput(c.relay.now())...)
	}
	firings := c.plan.TakeFirings()
	c.planMu.Unlock()
	c.relay.recordAll(firings)
	return outputs
}

// enqueue passes outputs to the writer. It reports false once the stream or the connection has ended.
func (c *relayedConn) enqueue(outputs []fault.Output, queue *outputQueue) bool {
	for _, o := range outputs {
		if !queue.put(c.ctx, o) {
			return false
		}
		if o.Ending != fault.NotEnded {
			return false
		}
	}
	return true
}

// write writes each output when it is due, until the queue is closed or the connection has ended. An ending takes
// effect when write reaches it, after the output before it.
func (c *relayedConn) write(dst *net.TCPConn, queue *outputQueue) {
	for o := range queue.pending {
		if !c.relay.sleepUntil(c.ctx, o.Due) {
			return
		}
		if len(o.Data) > 0 {
			if _, err := dst.Write(o.Data); err != nil {
				c.close(fault.EndReset)
				return
			}
		}
		c.applyEnding(dst, o.Ending)
	}
}

// applyEnding ends one direction or the connection, unless ending is NotEnded.
func (c *relayedConn) applyEnding(dst *net.TCPConn, ending fault.Ending) {
	switch ending {
	case fault.NotEnded:
	case fault.EndHalfClosed:
		dst.CloseWrite() //nolint:errcheck // the connection may have ended
	default:
		c.close(ending)
	}
}

// close closes both sockets, with RST if the ending is a reset. Only the first call has an effect.
func (c *relayedConn) close(ending fault.Ending) {
	c.closeOnce.Do(func() {
		for _, conn := range []*net.TCPConn{c.client, c.target} {
			if ending == fault.EndReset {
				reset(conn)
			} else {
				conn.Close() //nolint:errcheck // the peer may have closed it
			}
		}
		c.cancel()
	})
}

// reset closes a connection with RST.
func reset(conn *net.TCPConn) {
	conn.SetLinger(0) //nolint:errcheck // the peer may have closed it
	conn.Close()      //nolint:errcheck // as above
}
