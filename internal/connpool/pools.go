// Package connpool keeps a pool of connections for each server and assigns uses to them. Everything in it belongs to the
// event loop's goroutine.
package connpool

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
)

// ErrConnLimit says that a connection would exceed the budget for sockets.
var ErrConnLimit = errors.New("budget for sockets is used up")

const (
	initialConnectTime = 10 * time.Millisecond // to come up, until some have
	medianStepDivisor  = 5                     // part of it by which the usual time follows
	overdueFactor      = 3                     // times the usual time after which a connection is late
	minConnectPatience = 5 * time.Millisecond
)

// ErrEndpointRemoved says that a pool's server is gone.
var ErrEndpointRemoved = errors.New("server is gone")

// Limits bound the connections of all pools.
type Limits struct {
	MaxUsesPerConn int // uses that one connection carries together
	MaxConns       int // connections of all pools together
	DedicatedConns int // connections up to which each use gets one of its own
	SharedUses     int // uses that share one all the same, of those that can be repeated; 0: none
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // an unused connection is closed after this
}

// Pools holds a pool for each server, by the server's id. An address says nothing of who answers there: a new
// server may take it over, and no connection to the old one may then be used for the new.
type Pools struct {
	loop       *eventloop.Loop
	limits     Limits
	newHandler func(*PooledConn) eventloop.Handler
	endpoints  map[string]*endpointPool
	connCount  int // open connections
	idleLoss   idleLossEstimates
}

// endpointPool is the connections to one server.
type endpointPool struct {
	pools             *Pools
	addr              netip.AddrPort
	conns             []*PooledConn
	medianConnectTime time.Duration // in which about half of its connections come up
}

// New returns pools without servers. open makes the handler of each new connection; the handler calls
// Drop when the connection has ended.
func New(l *eventloop.Loop, limits Limits, open func(*PooledConn) eventloop.Handler) *Pools {
	return &Pools{loop: l, limits: limits, newHandler: open, endpoints: map[string]*endpointPool{}}
}

// SetLimits replaces the limits. Connections beyond them end as they are used up.
func (ps *Pools) SetLimits(limits Limits) { ps.limits = limits }

// SetAddress says where a server is to be found. At a new address its old connections take no new use.
func (ps *Pools) SetAddress(id string, addr netip.AddrPort) {
	if p := ps.endpoints[id]; p != nil {
		if p.addr == addr {
			return
		}
		ps.RemoveEndpoint(id)
	}
	ps.endpoints[id] = &endpointPool{pools: ps, addr: addr, medianConnectTime: initialConnectTime}
}

// RemoveEndpoint forgets a server. Connections that are not up yet are given up: whoever has taken over the address
// must not get what was meant for the old server. Uses under way end as they may.
func (ps *Pools) RemoveEndpoint(id string) {
	p := ps.endpoints[id]
	if p == nil {
		return
	}
	delete(ps.endpoints, id)
	for _, s := range slices.Clone(p.conns) {
		s.Stale = true
		if !s.Connected() {
			s.Fail(ErrEndpointRemoved)
		} else {
			s.closeIfStaleAndUnused()
		}
	}
}

// DiscardConns makes connections to a server stale: it has restarted, and those from before are dead.
func (ps *Pools) DiscardConns(id string) {
	if p := ps.endpoints[id]; p != nil {
		for _, s := range slices.Clone(p.conns) {
			s.Stale = true
			s.closeIfStaleAndUnused()
		}
	}
}

// CloseIdle closes what has not been used for the idle time: before the server does, as a use that crosses
// the server's close would be lost. It also lets what was learned of losses fade, so that it is tried again.
func (ps *Pools) CloseIdle() {
	for _, p := range ps.endpoints {
		for _, s := range slices.Clone(p.conns) {
			if s.InUse == 0 && s.lastReleasedAt > 0 && ps.loop.Now()-s.lastReleasedAt >= ps.limits.IdleTimeout {
				s.Stale = true
				s.closeIfStaleAndUnused()
			}
			s.closeIfLikelyLost()
		}
	}
	ps.idleLoss.decay()
}
