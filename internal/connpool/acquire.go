package connpool

import (
	"errors"
	"fmt"
	"slices"
)

// ErrConnLimit means that a new connection would exceed the limits on connections.
var ErrConnLimit = errors.New("connection limit reached")

// ErrEndpointRemoved means that an endpoint has been removed from the pools.
var ErrEndpointRemoved = errors.New("endpoint removed")

// UseInfo describes a use that needs a connection.
type UseInfo struct {
	// NonIdempotent is set for a use that must not be repeated freely when its connection is lost. That
	// includes a use with an idempotency key.
	NonIdempotent bool

	// Accepts reports whether the use may go on a connection. It must not block or change the pools.
	Accepts func(*PooledConn) bool
}

// Acquire returns a connection to an endpoint for one more use, which Release ends. It prefers an existing
// connection that accepts the use and dials a new one if there is none or a new one is preferable (prefersNew).
// If the dial fails, the existing one is returned after all. The error is ErrEndpointRemoved for an unknown
// endpoint, wraps ErrConnLimit if the limits allow no new connection, or is the error of the dial.
func (ps *Pools) Acquire(id string, use UseInfo) (*PooledConn, error) {
	pool := ps.endpoints[id]
	if pool == nil {
		return nil, ErrEndpointRemoved
	}
	existingConn := pool.pickExisting(use)
	if existingConn != nil && !ps.prefersNew(existingConn, use) {
		return existingConn.startUse(), nil
	}
	dialedConn, err := pool.dial()
	switch {
	case err == nil:
		return dialedConn.startUse(), nil
	case existingConn != nil:
		return existingConn.startUse(), nil
	default:
		return nil, err
	}
}

// Reassign returns another connection for a use that waits for an overdue one. It prefers a connection that
// was established, or has received something, since the overdue one was dialed, which shows that the endpoint
// is reachable; if there is none, it dials a new one. It fails with ErrConnLimit if the overdue connection is
// stale or if there are already DedicatedConns connections or more; any other error is the error of the dial. The
// caller releases the overdue connection, which serves other uses once it is established.
func (ps *Pools) Reassign(overdueConn *PooledConn, accepts func(*PooledConn) bool) (*PooledConn, error) {
	pool := overdueConn.pool
	existingConn := pool.pickActiveSince(overdueConn, accepts)
	if existingConn != nil {
		return existingConn.startUse(), nil
	}
	if overdueConn.Stale || !ps.belowDedicatedConns() {
		return nil, ErrConnLimit
	}
	dialedConn, err := pool.dial()
	if err != nil {
		return nil, err
	}
	return dialedConn.startUse(), nil
}

// prefersNew reports whether a use gets a new connection although an existing one accepts it. While there are
// fewer connections than DedicatedConns, uses share a connection only if they are idempotent, and at most
// MaxSharedUses of them: whatever ends or corrupts a connection affects all its uses. A non-idempotent use also
// gets a new connection instead of an idle one if new connections have recently been lost less often than
// connections that were idle for as long as the existing one.
func (ps *Pools) prefersNew(existingConn *PooledConn, use UseInfo) bool {
	if !ps.belowDedicatedConns() {
		return false
	}
	if existingConn.InUse > 0 {
		return use.NonIdempotent || existingConn.InUse >= ps.limits.MaxSharedUses
	}
	return use.NonIdempotent && ps.idleLoss[existingConn.idleBucket()] > ps.idleLoss[newConnBucket]
}

func (ps *Pools) belowDedicatedConns() bool { return ps.connCount < ps.limits.DedicatedConns }

// pickExisting returns the most suitable of the pool's connections that accept a use, nil if none does. It also
// records the connect times of new connections and closes idle connections that have likely been lost.
func (p *endpointPool) pickExisting(use UseInfo) *PooledConn {
	var best *PooledConn
	for _, conn := range slices.Clone(p.conns) {
		conn.recordConnect()
		conn.closeIfLikelyLost()
		if !conn.hasCapacity() || conn.overdue() || !use.Accepts(conn) {
			continue
		}
		if best == nil || conn.preferredTo(best) {
			best = conn
		}
	}
	return best
}

// pickActiveSince returns the most suitable connection that accepts a use and was established, or has
// received something, since the overdue one was dialed; nil if there is none.
func (p *endpointPool) pickActiveSince(overdueConn *PooledConn, accepts func(*PooledConn) bool) *PooledConn {
	var best *PooledConn
	for _, conn := range p.conns {
		activeSince := conn.Connected() && conn.LastReceived() > overdueConn.CreatedAt()
		if !activeSince || !conn.hasCapacity() || !accepts(conn) {
			continue
		}
		if best == nil || conn.preferredTo(best) {
			best = conn
		}
	}
	return best
}

// hasCapacity reports whether the connection may get one more use.
func (c *PooledConn) hasCapacity() bool {
	return !c.Stale && !c.Ended() && c.InUse < c.pool.pools.limits.MaxUsesPerConn
}

// preferredTo reports whether c is more suitable for a new use than other: an established connection rather
// than one that is connecting, then the one with fewer uses, then the one whose last use ended later.
func (c *PooledConn) preferredTo(other *PooledConn) bool {
	if c.Connected() != other.Connected() {
		return c.Connected()
	}
	if c.InUse != other.InUse {
		return c.InUse < other.InUse
	}
	return c.lastReleasedAt > other.lastReleasedAt
}

// dial adds a new connection to the pool. The error wraps ErrConnLimit if there are already MaxConns.
func (p *endpointPool) dial() (*PooledConn, error) {
	ps := p.pools
	if ps.connCount >= ps.limits.MaxConns {
		return nil, fmt.Errorf("%s: %w", p.addr, ErrConnLimit)
	}
	pooledConn := &PooledConn{pool: p}
	pooledConn.Owner = ps.newHandler(pooledConn)
	conn, err := ps.loop.Dial(p.addr, ps.limits.ConnectTimeout, pooledConn.Owner)
	if err != nil {
		return nil, err
	}
	pooledConn.Conn = conn
	ps.connCount++
	p.conns = append(p.conns, pooledConn)
	return pooledConn, nil
}
