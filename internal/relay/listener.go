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
	// acceptBacklog is the maximum number of connections that wait to be accepted while the link is not stalled.
	acceptBacklog = 128
	// maxFillers is the maximum number of fillers: connections that the relay opens to a stalled link to fill its
	// accept queue.
	maxFillers = 4
	// fillerTimeout limits the connect of a filler. A filler that takes longer shows that the accept queue is full.
	fillerTimeout = 50 * time.Millisecond
	// reopenInterval is the time between two attempts to listen again on an address that another socket has
	// taken.
	reopenInterval = 10 * time.Millisecond
	// changePollInterval is the maximum time for which the accepting goroutine waits for a change of the listener
	// before it tries to accept again.
	changePollInterval = 20 * time.Millisecond
)

// linkListener is the listening side of a link. While a Refuse rule is active, it does not listen. While a Stall
// rule is active, its accept queue is full, and new connections time out.
type linkListener struct {
	relay         *Relay
	link          fault.Link
	addr          net.Addr
	mu            sync.Mutex       // guards the fields below
	listener      *net.TCPListener // nil: new connections are refused
	closed        bool
	changed       chan struct{}       // closed and replaced when listener is replaced, or accepts again after a stall
	fillers       map[string]net.Conn // the relay's own connections that fill the accept queue, by local address
	acceptedCount int                 // connections accepted so far, without the fillers
}

// openLink listens on a link's address, and schedules the rules that block new connections. The rules for
// connection 2 and later are started by handle instead.
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

// blocksNewConns reports whether a rule blocks new connections of this link.
func (l *linkListener) blocksNewConns(rule fault.Rule) bool {
	return rule.Link == l.link.Name && rule.Kind.BlocksNewConns()
}

// block starts to block new connections as a rule says, records the fault, and schedules the end of the block.
func (l *linkListener) block(rule fault.Rule) {
	unblock := l.reopen
	if rule.Kind == fault.Stall {
		l.stall()
		unblock = l.endStall
	} else {
		l.refuse()
	}
	l.relay.recordAll([]fault.Firing{{
		Link: l.link.Name, ConnNumber: rule.ConnNumber, Direction: fault.Both, Offset: fault.NoOffset,
		ScriptLine: rule.ScriptLine, Kind: rule.Kind,
	}})
	l.relay.runAt(l.relay.ctx, l.relay.now()+rule.Duration, unblock)
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

// refuse closes the listener, so that the system refuses new connections.
func (l *linkListener) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		l.listener.Close() //nolint:errcheck // it is no longer used
		l.setListener(nil)
	}
}

// reopen listens on the address again. If another socket has taken the address, reopen retries until it succeeds or
// the relay is closed.
func (l *linkListener) reopen() {
	for !l.tryReopen() {
		if !l.relay.sleepUntil(l.relay.ctx, l.relay.now()+reopenInterval) {
			return
		}
	}
}

// tryReopen listens again, unless the link listens already or is closed. It reports false if reopen
// has to retry.
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

// setBacklog sets the maximum number of connections that wait to be accepted. It calls listen(2) again, which changes
// the backlog of a socket that already listens. The caller holds mu.
func (l *linkListener) setBacklog(size int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), size) })
	return errors.Join(err, listenErr)
}

// stall stops accepting, sets the backlog to 0 and fills the accept queue with fillers.
func (l *linkListener) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil || l.setBacklog(0) != nil {
		return
	}
	past := time.Unix(1, 0)
	l.listener.SetDeadline(past) //nolint:errcheck // it fails only for a closed listener, which accepts nothing
	for range maxFillers {
		filler, err := net.DialTimeout("tcp", l.addr.String(), fillerTimeout)
		if err != nil {
			return // the accept queue is full
		}
		l.fillers[filler.LocalAddr().String()] = filler
	}
}

// endStall lets the link accept connections again.
func (l *linkListener) endStall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	l.setBacklog(acceptBacklog)         //nolint:errcheck // connections are accepted even if the queue stays short
	l.listener.SetDeadline(time.Time{}) //nolint:errcheck // it fails only for a closed listener
	l.notifyChanged()
}

// close closes the listener and its fillers.
func (l *linkListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.listener != nil {
		l.listener.Close() //nolint:errcheck // it is no longer used
	}
	for _, filler := range l.fillers {
		filler.Close() //nolint:errcheck // it is no longer used
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

// awaitChange waits until the listener has changed or the relay is closed, but no longer than changePollInterval: an
// accept may also fail while the listener stays as it is. A change can come before the failed accept returns, so
// serve takes changed before it accepts.
func (l *linkListener) awaitChange(changed <-chan struct{}) {
	select {
	case <-changed:
	case <-l.relay.ctx.Done():
	case <-time.After(changePollInterval):
	}
}

// handle relays an accepted connection, or closes it if it is a filler. Before it relays a connection, it starts
// the rules that block the next one.
func (l *linkListener) handle(conn *net.TCPConn) {
	number, filler := l.register(conn)
	if filler != nil {
		filler.Close() //nolint:errcheck // it is no longer used
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

// register returns the number of an accepted connection, from 1. For a filler it returns 0 and the filler's
// connecting end, and removes the filler from fillers.
func (l *linkListener) register(conn *net.TCPConn) (number int, filler net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote := conn.RemoteAddr().String()
	filler = l.fillers[remote]
	if filler != nil {
		delete(l.fillers, remote)
		return 0, filler
	}
	l.acceptedCount++
	return l.acceptedCount, nil
}
