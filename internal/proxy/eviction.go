package proxy

// This file implements eviction: when the limit on client connections is reached, an idle one is closed so that
// a new one can be accepted. Without eviction, clients that connect and send nothing, or send one request and
// stay connected, would keep out all others. So would clients that ask again as soon as they are answered: those whose
// requests can't be used go first, and if nobody is idle for a while, those that ask most often.

import (
	"errors"
	"time"
)

// errEvicted says that a connection was closed to make room for another client.
var errEvicted = errors.New("evicted for another client")

// The idle times after which a connection can be evicted.
const (
	// evictUnusableAfter is for a client none of whose requests could be used. It has its answers, and is owed nothing
	// more.
	evictUnusableAfter = time.Millisecond
	// evictSilentAfter is for a client that has sent nothing yet: a normal client sends its request as soon as
	// it is connected.
	evictSilentAfter = 50 * time.Millisecond
	// evictIdleAfter is for a client whose requests have all been answered. The proxy may close a connection
	// without an open request: a client sends a request again if it reached the proxy within 50 ms of that close.
	// With a longer evictIdleAfter, a few hundred clients a second that each send one request and stay connected
	// would hold all connections.
	evictIdleAfter = 100 * time.Millisecond
	// evictPartialAfter is for a client that paused in the middle of a request, which the eviction loses.
	evictPartialAfter = 250 * time.Millisecond
)

const (
	// evictBusyAfter is the time for which nobody can be evicted after which a client is that is not idle.
	evictBusyAfter = 250 * time.Millisecond
	// evictBusyInterval is the time between two such evictions.
	evictBusyInterval = 5 * time.Millisecond
)

// evictionClass groups connections by what their eviction costs. Lower classes are evicted first.
type evictionClass int

const (
	unusableClient evictionClass = iota // has sent complete requests, none of which could be used
	silentClient                        // has sent nothing yet
	idleClient                          // has sent complete requests, and nothing since
	partialClient                       // is in the middle of a request
)

// minIdleTime returns the idle time after which a connection of the class can be evicted.
func (e evictionClass) minIdleTime() time.Duration {
	switch e {
	case unusableClient:
		return evictUnusableAfter
	case silentClient:
		return evictSilentAfter
	case idleClient:
		return evictIdleAfter
	default:
		return evictPartialAfter
	}
}

// ensureCapacity reports whether one more client can be accepted. It evicts another one if necessary.
func (f *FastCGIServer) ensureCapacity() bool {
	if len(f.conns) < f.maxConns || f.evictIdleClient() {
		f.noCapacitySince = 0
		return true
	}
	if f.noCapacitySince == 0 {
		f.noCapacitySince = f.loop.Now()
	}
	return f.loop.Now()-f.noCapacitySince >= evictBusyAfter && f.evictBusyClient()
}

// evictBusyClient evicts the client that has sent the most requests for its age, among those that have their answers, and
// reports whether there was one. It does so once per evictBusyInterval.
func (f *FastCGIServer) evictBusyClient() bool {
	var busiest *clientConn
	for c := range f.conns {
		if c.hasItsAnswers() && (busiest == nil || c.requestRate() > busiest.requestRate()) {
			busiest = c
		}
	}
	if busiest == nil {
		return false
	}
	f.evict(busiest)
	f.noCapacitySince = f.loop.Now() - evictBusyAfter + evictBusyInterval
	return true
}

// hasItsAnswers reports whether the client waits for no answer, and all of its answers have been sent. A request that is on
// its way crosses the close.
func (c *clientConn) hasItsAnswers() bool {
	if len(c.openRequests) > 0 || c.conn.Ended() || c.hasPartialRequest() || c.readsSlowly() {
		return false
	}
	return c.conn.UnsentBytes() == 0 && !c.conn.HasUnreadInput()
}

// requestRate returns the number of requests a second that the client has sent since it connected.
func (c *clientConn) requestRate() float64 {
	return float64(c.completeRequests) / (c.conn.Age() + time.Millisecond).Seconds()
}

// evictIdleClient evicts the client whose eviction costs least, and reports whether there was one to evict.
func (f *FastCGIServer) evictIdleClient() bool {
	denied := map[*clientConn]bool{}
	for {
		candidate := f.evictionCandidate(denied)
		if candidate == nil {
			return false
		}
		if candidate.evictionClass() == unusableClient || f.mayClose(candidate.closeInfo()) {
			f.evict(candidate)
			return true
		}
		denied[candidate] = true
	}
}

// evictionCandidate returns the connection to evict first, except those in denied; nil if there is none.
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

// evict closes a connection to make room for another client.
func (f *FastCGIServer) evict(c *clientConn) {
	f.log.Info("client connection evicted", "connection", c.number, "idle", c.idleTime())
	c.conn.Close()
	c.release(errEvicted)
}

// evictable reports whether the connection is a candidate: idle for long enough, with no open request and
// no answer that its client has yet to receive. It is called for
// every connection; policy.MayClose, which makes system calls, then decides about the chosen one only.
func (c *clientConn) evictable() bool {
	if len(c.openRequests) > 0 || c.conn.Ended() {
		return false
	}
	if c.evictionClass() == unusableClient {
		return c.conn.QueuedBytes() == 0 && c.idleTime() > evictUnusableAfter
	}
	if c.isReceiving() {
		return false
	}
	return c.idleTime() > c.evictionClass().minIdleTime()
}

// evictBefore reports whether the connection is evicted before another one: lower classes come first, and
// within a class those that have been idle for longer.
func (c *clientConn) evictBefore(other *clientConn) bool {
	class, otherClass := c.evictionClass(), other.evictionClass()
	if class != otherClass {
		return class < otherClass
	}
	return c.idleTime() > other.idleTime()
}

// evictionClass returns the class of the connection in its present state.
func (c *clientConn) evictionClass() evictionClass {
	switch {
	case c.completeRequests > 0 && !c.sentUsableRequest:
		return unusableClient
	case c.hasPartialRequest():
		return partialClient
	case c.completeRequests > 0:
		return idleClient
	default:
		return silentClient
	}
}
