// Package connpool keeps a pool of connections for each endpoint, an upstream server, and assigns uses, such
// as calls, to them. A connection may carry several uses at once. The package is used from the event loop's
// goroutine only.
package connpool

import (
	"net/netip"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
)

// Limits are the limits on the connections of all pools.
type Limits struct {
	MaxUsesPerConn int           // uses that one connection carries at once
	MaxConns       int           // connections of all pools together
	DedicatedConns int           // number of connections of all pools together below which uses get their own
	MaxSharedUses  int           // idempotent uses that may share one connection below DedicatedConns; 0: none
	ConnectTimeout time.Duration // time after which a connect fails
	IdleTimeout    time.Duration // time after which an unused connection is closed
}

// Pools holds a pool for each endpoint, by the endpoint's ID. An address does not identify an endpoint: a new
// endpoint may take over the address of an old one, and its uses must not get connections to the old one.
type Pools struct {
	loop       *eventloop.Loop
	limits     Limits
	newHandler func(*PooledConn) eventloop.Handler
	endpoints  map[string]*endpointPool
	connCount  int // open connections
	idleLoss   idleLossEstimates
}

// endpointPool holds the connections to one endpoint.
type endpointPool struct {
	pools             *Pools
	id                string
	addr              netip.AddrPort
	conns             []*PooledConn
	medianConnectTime time.Duration // estimate, see recordConnect
}

// New returns pools without endpoints. newHandler makes the handler of each new connection; the handler calls
// RemoveFromPool when the connection has ended.
func New(l *eventloop.Loop, limits Limits, newHandler func(*PooledConn) eventloop.Handler) *Pools {
	return &Pools{loop: l, limits: limits, newHandler: newHandler, endpoints: map[string]*endpointPool{}}
}

// SetLimits replaces the limits. Connections that exceed the new ones stay until they are closed for another
// reason.
func (ps *Pools) SetLimits(limits Limits) { ps.limits = limits }

// SetAddress adds an endpoint or changes its address. Connections to an earlier address get no new use.
func (ps *Pools) SetAddress(id string, addr netip.AddrPort) {
	pool := ps.endpoints[id]
	if pool != nil && pool.addr == addr {
		return
	}
	ps.RemoveEndpoint(id)
	ps.endpoints[id] = &endpointPool{pools: ps, id: id, addr: addr, medianConnectTime: initialConnectTime}
}

// RemoveEndpoint removes an endpoint. Its connections that are not established fail with ErrEndpointRemoved,
// as an endpoint that takes over the address must not receive requests for this one. Uses in progress on the
// others continue.
func (ps *Pools) RemoveEndpoint(id string) {
	pool := ps.endpoints[id]
	if pool == nil {
		return
	}
	delete(ps.endpoints, id)
	for _, conn := range slices.Clone(pool.conns) {
		if conn.Connected() {
			conn.retire()
			continue
		}
		conn.Stale = true
		conn.Fail(ErrEndpointRemoved)
	}
}

// DiscardConns retires all connections to an endpoint that has restarted, as they no longer reach it.
func (ps *Pools) DiscardConns(id string) {
	pool := ps.endpoints[id]
	if pool == nil {
		return
	}
	for _, conn := range slices.Clone(pool.conns) {
		conn.retire()
	}
}

// CloseIdle closes connections that have been unused for the idle timeout, which is shorter than the
// servers': a use that is sent while the server closes the connection would be lost. It also closes
// connections that have likely been lost and lets the estimates of losses decay. It must be called once a
// second, the interval that the decay assumes.
func (ps *Pools) CloseIdle() {
	for _, pool := range ps.endpoints {
		for _, conn := range slices.Clone(pool.conns) {
			if conn.idleTimeoutReached() {
				conn.retire()
			}
			conn.closeIfLikelyLost()
		}
	}
	ps.idleLoss.decay()
}

// idleTimeoutReached reports whether the connection has been unused for the idle timeout. The timeout does
// not apply to a connection that never had a use.
func (c *PooledConn) idleTimeoutReached() bool {
	hasBeenUsed := c.lastReleasedAt > 0
	return c.InUse == 0 && hasBeenUsed && c.now()-c.lastReleasedAt >= c.pool.pools.limits.IdleTimeout
}
