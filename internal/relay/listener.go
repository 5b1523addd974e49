package relay

import (
	"errors"
	"net"
	"sync"
	"time"

	"cloverdoor/internal/fault"

	"golang.org/x/sys/unix"
)

const (
	// acceptBacklog is how many connections may wait to be accepted while the link is not stalled.
	acceptBacklog = 128
	// maxFillers is how many connections are tried to fill the queue of a stalled link.
	maxFillers = 4
	// fillerTimeout is after how long a connect counts as not accepted: the queue is full.
	fillerTimeout = 50 * time.Millisecond
	// reopenInterval is the time between two attempts to listen again on an address that another socket has
	// taken.
	reopenInterval = 10 * time.Millisecond
	// changePollInterval is how often the accepting goroutine looks for a new listener that it was not
	// notified of.
	changePollInterval = 20 * time.Millisecond
)

// linkListener is the listening side of a link. While a Refuse rule is in force it does not listen; while a
// Stall rule is, its queue is full, and further connects time out.
type linkListener struct {
	relay    *Relay
	link     fault.Link
	addr     net.Addr
	mu       sync.Mutex       // of the fields below
	listener *net.TCPListener // nil: connects are refused
	closed   bool
	changed  chan struct{}       // closed when listener has changed, or accepts again
	fillers  map[string]net.Conn // own connections that fill the queue, by their local address
	accepted int                 // connections so far, without the fillers
}

// openLink listens on a link's address, and schedules the rules that keep its first connection out.
func (r *Relay) openLink(link fault.Link) (*linkListener, error) {
	l := &linkListener{relay: r, link: link, changed: make(chan struct{}), fillers: map[string]net.Conn{}}
	listener, err := net.Listen("tcp", link.Listen.String())
	if err != nil {
		return nil, err
	}
	l.listener = listener.(*net.TCPListener)
	l.addr = listener.Addr()
	for _, rule := range r.script.Rules {
		if l.blocksNewConns(rule) && rule.ConnNumber <= 1 {
			r.runAt(r.ctx, max(rule.Trigger.Time, 0), func() { l.block(rule) })
		}
	}
	return l, nil
}

// blocksNewConns reports whether a rule keeps connections of this link out.
func (l *linkListener) blocksNewConns(rule fault.Rule) bool {
	return rule.Link == l.link.Name && rule.Kind.BlocksNewConns()
}

// block keeps new connections out for the duration of a rule.
func (l *linkListener) block(rule fault.Rule) {
	end := l.reopen
	if rule.Kind == fault.Stall {
		l.stall()
		end = l.endStall
	} else {
		l.refuse()
	}
	l.relay.recordAll([]fault.Firing{{
		Link: l.link.Name, ConnNumber: rule.ConnNumber, Direction: fault.Both, Offset: fault.NoOffset,
		ScriptLine: rule.ScriptLine, Kind: rule.Kind,
	}})
	l.relay.runAt(l.relay.ctx, l.relay.now()+rule.Duration, end)
}

// setListener replaces the listener and notifies the accepting goroutine. The caller holds mu.
func (l *linkListener) setListener(listener *net.TCPListener) {
	l.listener = listener
	l.notifyChanged()
}

// notifyChanged wakes the accepting goroutine. The caller holds mu.
func (l *linkListener) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// refuse closes the listener.
func (l *linkListener) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		l.listener.Close() //nolint:errcheck // it is not used any more
		l.setListener(nil)
	}
}

// reopen listens on the address again. Where another socket has taken it, reopen tries until the relay is
// closed.
func (l *linkListener) reopen() {
	for !l.tryReopen() {
		if !l.relay.sleepUntil(l.relay.ctx, l.relay.now()+reopenInterval) {
			return
		}
	}
}

// tryReopen reports whether nothing is left to do: the link listens, or is closed.
func (l *linkListener) tryReopen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil || l.closed {
		return true
	}
	listener, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return false
	}
	l.setListener(listener.(*net.TCPListener))
	return true
}

// setBacklog sets how many connections may wait to be accepted; the system takes a new value for a
// listening socket. The caller holds mu.
func (l *linkListener) setBacklog(size int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), size) })
	return errors.Join(err, listenErr)
}

// stall stops accepting, makes the queue short and fills it with own connections.
func (l *linkListener) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil || l.setBacklog(0) != nil {
		return
	}
	past := time.Unix(1, 0)
	l.listener.SetDeadline(past) //nolint:errcheck // a listener that is closed accepts nothing either
	for range maxFillers {
		filler, err := net.DialTimeout("tcp", l.addr.String(), fillerTimeout)
		if err != nil {
			return // the queue is full
		}
		l.fillers[filler.LocalAddr().String()] = filler
	}
}

// endStall accepts again.
func (l *linkListener) endStall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	l.setBacklog(acceptBacklog)         //nolint:errcheck // a short queue accepts as well
	l.listener.SetDeadline(time.Time{}) //nolint:errcheck // it fails only for a closed listener
	l.notifyChanged()
}

// close closes the listener and the connections that fill its queue.
func (l *linkListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.listener != nil {
		l.listener.Close() //nolint:errcheck // it is not used any more
	}
	for _, filler := range l.fillers {
		filler.Close() //nolint:errcheck // it is not used any more
	}
}

// serve accepts connections until the relay is closed.
func (l *linkListener) serve() {
	for l.relay.ctx.Err() == nil {
		l.mu.Lock()
		listener := l.listener
		changed := l.changed
		l.mu.Unlock()
		if listener == nil {
			l.awaitChange(changed)
			continue
		}
		conn, err := listener.AcceptTCP()
		if err != nil {
			l.awaitChange(changed)
			continue
		}
		l.handle(conn)
	}
}

// awaitChange waits until the listener has changed, or may have: a change can come before the failed accept
// returns.
func (l *linkListener) awaitChange(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-l.relay.ctx.Done():
	case <-time.After(changePollInterval):
	}
}

// handle relays an accepted connection. One that filled the queue is closed instead.
func (l *linkListener) handle(conn *net.TCPConn) {
	number, filler := l.register(conn)
	if filler != nil {
		filler.Close() //nolint:errcheck // it is not used any more
		conn.Close()   //nolint:errcheck // as above
		return
	}
	for _, rule := range l.relay.script.Rules {
		if l.blocksNewConns(rule) && rule.ConnNumber == number+1 {
			l.block(rule) // before the next connection is accepted
		}
	}
	l.relay.goroutines.Go(func() { l.relay.relayConn(l.link, number, conn) })
}

// register returns the number of an accepted connection, from 1, or the own end of one that filled the queue.
func (l *linkListener) register(conn *net.TCPConn) (number int, filler net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote := conn.RemoteAddr().String()
	filler = l.fillers[remote]
	if filler != nil {
		delete(l.fillers, remote)
		return 0, filler
	}
	l.accepted++
	return l.accepted, nil
}
