package connpool

import (
	"fmt"
	"slices"
)

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
