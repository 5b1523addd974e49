// Package connpool keeps a pool of connections for each server and assigns uses to them. Everything in it belongs to the
// event loop's goroutine.
package connpool

import (
	"errors"
	"fmt"
	"math/bits"
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

// PooledConn is one pooled connection.
type PooledConn struct {
	*eventloop.Conn
	Owner           eventloop.Handler
	pool            *endpointPool
	InUse           int  // uses under way
	Stale           bool // takes no new use; closed when the last one is over
	lastReleasedAt  eventloop.Timestamp
	connectRecorded bool // how long it took to come up has been counted

	trialBucket  int                 // how long it had been idle when its last use began, as a place in risks; -1: known by now
	useStartedAt eventloop.Timestamp // when that was
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

// Acquire returns a connection to the server for one more use: one that is up rather than one still connecting,
// the least used first, of unused ones the last used, and a new one when none fits. While connections are few
// each use gets one of its own: what spoils or ends a connection hits all uses that share it. Where the limits say so,
// a few that can be repeated share one. A careful use, which can't be, takes a new one if those lately were lost less
// often.
func (ps *Pools) Acquire(id string, careful bool, fits func(*PooledConn) bool) (*PooledConn, error) {
	p := ps.endpoints[id]
	if p == nil {
		return nil, ErrEndpointRemoved
	}
	var best *PooledConn
	for _, s := range slices.Clone(p.conns) {
		s.recordConnect()
		if s.closeIfLikelyLost(); s.Stale || s.Ended() || s.InUse >= ps.limits.MaxUsesPerConn || s.overdue() || !fits(s) {
			continue
		}
		if best == nil || s.preferredTo(best) {
			best = s
		}
	}
	worse := best != nil && careful && best.InUse == 0 && ps.idleLoss[best.idleBucket()] > ps.idleLoss[0]
	crowded := best != nil && best.InUse > 0 && (careful || best.InUse >= ps.limits.SharedUses)
	if best == nil || (crowded || worse) && ps.connCount < ps.limits.DedicatedConns {
		fresh, err := p.dial()
		switch {
		case err == nil:
			best = fresh
		case best == nil:
			return nil, err
		}
	}
	best.startUse()
	return best, nil
}

func (s *PooledConn) startUse() {
	if s.InUse++; s.InUse == 1 {
		s.trialBucket, s.useStartedAt = s.idleBucket(), s.pool.pools.loop.Now()
	}
}

// Reassign returns another connection for a use that waits for one that is late to come up: one that is up and has
// brought something since the late one was begun, as its server may be gone, else a new one. The caller releases the
// late one, which is there for others when it comes up.
func (ps *Pools) Reassign(late *PooledConn, fits func(*PooledConn) bool) (*PooledConn, error) {
	p := late.pool
	var best *PooledConn
	for _, s := range p.conns {
		if !s.Stale && s.Connected() && !s.Ended() && s.InUse < ps.limits.MaxUsesPerConn && s.LastReceived() > late.CreatedAt() && fits(s) &&
			(best == nil || s.preferredTo(best)) {
			best = s
		}
	}
	if best == nil {
		if late.Stale || ps.connCount >= ps.limits.DedicatedConns {
			return nil, ErrConnLimit
		}
		fresh, err := p.dial()
		if err != nil {
			return nil, err
		}
		best = fresh
	}
	best.startUse()
	return best, nil
}

// ConnectPatience is how long a connection to this server may take to come up before it is late.
func (s *PooledConn) ConnectPatience() time.Duration {
	return max(minConnectPatience, overdueFactor*s.pool.medianConnectTime)
}

// overdue says that a connection has not come up in the usual time.
func (s *PooledConn) overdue() bool { return !s.Connected() && s.Age() > s.ConnectPatience() }

// recordConnect counts how long the connection took to come up, once: the estimate follows the median in small steps, so that those
// that come up late, however late, do not make late the rule.
func (s *PooledConn) recordConnect() {
	if !s.Connected() || s.connectRecorded {
		return
	}
	s.connectRecorded = true
	if s.ConnectDuration() > s.pool.medianConnectTime {
		s.pool.medianConnectTime += s.pool.medianConnectTime / medianStepDivisor
	} else {
		s.pool.medianConnectTime -= s.pool.medianConnectTime / medianStepDivisor
	}
}

// preferredTo says whether s is better than other for a new use.
func (s *PooledConn) preferredTo(other *PooledConn) bool {
	switch {
	case s.Connected() != other.Connected():
		return s.Connected()
	case s.InUse != other.InUse:
		return s.InUse < other.InUse
	}
	return s.lastReleasedAt > other.lastReleasedAt
}

func (p *endpointPool) dial() (*PooledConn, error) {
	ps := p.pools
	if ps.connCount >= ps.limits.MaxConns {
		return nil, fmt.Errorf("%s: %w", p.addr, ErrConnLimit)
	}
	s := &PooledConn{pool: p}
	s.Owner = ps.newHandler(s)
	conn, err := ps.loop.Dial(p.addr, ps.limits.ConnectTimeout, s.Owner)
	if err != nil {
		return nil, err
	}
	s.Conn = conn
	ps.connCount++
	p.conns = append(p.conns, s)
	return s, nil
}

// idleBucket is the place in risks for how long a connection without uses has been idleBucket; 0: it is new.
func (s *PooledConn) idleBucket() int {
	if s.lastReleasedAt == 0 {
		return 0
	}
	return 1 + min(bits.Len64(uint64((s.pool.pools.loop.Now()-s.lastReleasedAt)/minIdleTime)), len(s.pool.pools.idleLoss)-2)
}

// closeIfLikelyLost closes a connection that has been idle for so long that its next use would be at risk.
func (s *PooledConn) closeIfLikelyLost() {
	if s.InUse == 0 && s.Connected() && s.pool.pools.idleLoss.maxUpTo(s.idleBucket()) > maxLossShare {
		s.Stale = true
		s.closeIfStaleAndUnused()
	}
}

// MarkAlive notes that the connection has brought something since its last use began: it was alive.
func (s *PooledConn) MarkAlive() {
	if s.trialBucket >= 0 {
		s.pool.pools.idleLoss.count(s.trialBucket, false)
		s.trialBucket = -1
	}
}

// Release ends one use.
func (s *PooledConn) Release() {
	s.InUse--
	s.lastReleasedAt = s.pool.pools.loop.Now()
	if s.InUse == 0 && !s.Ended() {
		s.trialBucket = -1 // given up: it tells nothing
	}
	s.closeIfStaleAndUnused()
}

func (s *PooledConn) closeIfStaleAndUnused() {
	if s.Stale && s.InUse == 0 && !s.Ended() {
		s.Close()
		s.RemoveFromPool()
	}
}

// RemoveFromPool takes an ended connection out of its pool. One that ended as soon as it was used had ended before.
func (s *PooledConn) RemoveFromPool() {
	if s.Connected() && s.InUse > 0 && s.trialBucket >= 0 && s.pool.pools.loop.Now()-s.useStartedAt < immediateLoss {
		s.pool.pools.idleLoss.count(s.trialBucket, true)
	}
	before := len(s.pool.conns)
	s.pool.conns = slices.DeleteFunc(s.pool.conns, func(other *PooledConn) bool { return other == s })
	s.pool.pools.connCount -= before - len(s.pool.conns)
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
