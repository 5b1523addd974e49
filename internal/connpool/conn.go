package connpool

import (
	"cloverdoor/internal/eventloop"
	"math/bits"
	"slices"
	"time"
)

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

func (s *PooledConn) startUse() {
	if s.InUse++; s.InUse == 1 {
		s.trialBucket, s.useStartedAt = s.idleBucket(), s.pool.pools.loop.Now()
	}
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
