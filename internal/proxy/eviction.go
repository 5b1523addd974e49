package proxy

// This file holds eviction: when clients hold all the connections that they may, an idle one is closed so
// that a new one can be accepted. Without it, clients that connect and send nothing, or send one request and
// stay, would keep out all others.

import (
	"errors"
	"time"
)

// errEvicted closes a connection whose place another client needs.
var errEvicted = errors.New("evicted for another client")

// How long a connection must have been idle before it can be evicted.
const (
	// evictSilentAfter is for a client that has sent nothing yet: a real client sends its request once it is
	// connected.
	evictSilentAfter = 50 * time.Millisecond
	// evictIdleAfter is for a client whose requests have all been answered. A request that crosses the close
	// within 50 ms is sent again. With a longer time, a few hundred clients a second that each send one
	// request and stay would hold all connections.
	evictIdleAfter = 100 * time.Millisecond
	// evictPartialAfter is for a client that paused in the middle of a request, which would be lost.
	evictPartialAfter = 250 * time.Millisecond
)

// evictionClass groups connections by what their eviction costs. Lower classes are evicted first.
type evictionClass int

const (
	silentClient  evictionClass = iota // has sent nothing yet
	idleClient                         // has sent complete requests, and nothing since
	partialClient                      // is in the middle of a request
)

// minIdleTime is how long a connection of the class must have been idle before it can be evicted.
func (e evictionClass) minIdleTime() time.Duration {
	switch e {
	case silentClient:
		return evictSilentAfter
	case idleClient:
		return evictIdleAfter
	default:
		return evictPartialAfter
	}
}

// ensureCapacity reports whether one more client can be accepted. It may evict another for that.
func (f *FastCGIServer) ensureCapacity() bool {
	return len(f.conns) < f.maxConns || f.evictIdleClient()
}

// evictIdleClient closes the connection whose loss costs least, and reports whether there was one that can be
// closed.
func (f *FastCGIServer) evictIdleClient() bool {
	denied := map[*clientConn]bool{}
	for {
		candidate := f.evictionCandidate(denied)
		if candidate == nil {
			return false
		}
		if f.mayClose(candidate.closeInfo()) {
			f.evict(candidate)
			return true
		}
		denied[candidate] = true
	}
}

// evictionCandidate returns the connection to evict first among those not in denied, nil if there is none.
func (f *FastCGIServer) evictionCandidate(denied map[*clientConn]bool) *clientConn {
	var candidate *clientConn
	for c := range f.conns {
		if denied[c] || !c.evictable() {
			continue
		}
		if candidate == nil || c.evictBefore(candidate) {
			candidate = c
		}
	}
	return candidate
}

// evict closes a connection to free its place.
func (f *FastCGIServer) evict(c *clientConn) {
	f.log.Info("client connection evicted", "connection", c.number, "idle", c.idleTime())
	c.conn.Close()
	c.release(errEvicted)
}

// evictable reports whether the connection is a candidate: idle for long enough, with nothing open or queued.
// It is asked of every connection; policy.MayClose then decides about the one that was chosen.
func (c *clientConn) evictable() bool {
	queuedBytes, _ := c.conn.QueuedOutput()
	if len(c.openRequests) > 0 || queuedBytes > 0 || c.conn.Ended() {
		return false
	}
	return c.idleTime() > c.evictionClass().minIdleTime()
}

// evictBefore orders candidates: by class, then the longest idle first.
func (c *clientConn) evictBefore(other *clientConn) bool {
	class, otherClass := c.evictionClass(), other.evictionClass()
	if class != otherClass {
		return class < otherClass
	}
	return c.idleTime() > other.idleTime()
}

// evictionClass is the class of the connection in its present state.
func (c *clientConn) evictionClass() evictionClass {
	switch {
	case c.hasPartialRequest():
		return partialClient
	case c.completeRequests > 0:
		return idleClient
	default:
		return silentClient
	}
}
