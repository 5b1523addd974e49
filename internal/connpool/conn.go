package connpool

import (
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
)

const (
	// initialConnectTime is the assumed median of an endpoint's connect times before any has been recorded.
	initialConnectTime = 10 * time.Millisecond

	// medianStepDivisor sets the step of the median estimate: 1/medianStepDivisor of the estimate.
	medianStepDivisor = 5

	// overdueFactor is the multiple of the median connect time after which a connection is overdue.
	overdueFactor = 3

	// minOverdueAfter is the shortest time after which a connection is overdue.
	minOverdueAfter = 5 * time.Millisecond
)

// PooledConn is a connection of a pool.
type PooledConn struct {
	*eventloop.Conn
	Owner eventloop.Handler // the connection's handler, made by the function that New was given
	InUse int               // uses in progress
	Stale bool              // accepts no new use and is closed when the last one has ended

	pool            *endpointPool
	connectRecorded bool                // recordConnect has counted the connect time
	lastReleasedAt  eventloop.Timestamp // when a use last ended; 0: none has

	pendingBucket idleBucket          // bucket of the first use in progress; noBucket once its outcome is recorded
	useStartedAt  eventloop.Timestamp // when that use began
}

// startUse counts one more use and returns the connection.
func (c *PooledConn) startUse() *PooledConn {
	c.InUse++
	if c.InUse == 1 {
		c.pendingBucket = c.idleBucket()
		c.useStartedAt = c.now()
	}
	return c
}

// EndpointID returns the ID of the endpoint that the connection belongs to.
func (c *PooledConn) EndpointID() string { return c.pool.id }

// RecordInput records that input has arrived since the first use in progress began, which shows that the
// connection had not been lost.
func (c *PooledConn) RecordInput() {
	if c.pendingBucket != noBucket {
		c.pool.pools.idleLoss.recordSuccess(c.pendingBucket)
		c.pendingBucket = noBucket
	}
}

// Release ends one use.
func (c *PooledConn) Release() {
	c.InUse--
	c.lastReleasedAt = c.now()
	if c.InUse == 0 && !c.Ended() {
		c.pendingBucket = noBucket // an abandoned use shows neither loss nor success
	}
	c.closeIfStaleAndUnused()
}

// RemoveFromPool removes an ended connection from its pool. If the connection ended within
// lossDetectionWindow of the start of its first use in progress, and no input has arrived since, it counts as
// lost before that use.
func (c *PooledConn) RemoveFromPool() {
	outcomePending := c.Connected() && c.InUse > 0 && c.pendingBucket != noBucket
	if outcomePending && c.now()-c.useStartedAt < lossDetectionWindow {
		c.pool.pools.idleLoss.recordLoss(c.pendingBucket)
	}
	before := len(c.pool.conns)
	c.pool.conns = slices.DeleteFunc(c.pool.conns, func(other *PooledConn) bool { return other == c })
	c.pool.pools.connCount -= before - len(c.pool.conns)
}

// OverdueAfter returns the time after which a connection to this endpoint that is not established is overdue.
func (c *PooledConn) OverdueAfter() time.Duration {
	return max(minOverdueAfter, overdueFactor*c.pool.medianConnectTime)
}

// overdue reports whether the connection has not been established within OverdueAfter.
func (c *PooledConn) overdue() bool { return !c.Connected() && c.Age() > c.OverdueAfter() }

// recordConnect updates the estimated median with the connection's connect time, once. The estimate moves up
// or down by a small step whatever the difference, so that a few very long connect times do not raise it
// much.
func (c *PooledConn) recordConnect() {
	if !c.Connected() || c.connectRecorded {
		return
	}
	c.connectRecorded = true
	step := c.pool.medianConnectTime / medianStepDivisor
	if c.ConnectDuration() > c.pool.medianConnectTime {
		c.pool.medianConnectTime += step
	} else {
		c.pool.medianConnectTime -= step
	}
}

// idleBucket returns the bucket of the time for which a connection without uses has been idle.
func (c *PooledConn) idleBucket() idleBucket {
	if c.lastReleasedAt == 0 {
		return newConnBucket
	}
	return bucketOfIdleTime(c.now() - c.lastReleasedAt)
}

// closeIfLikelyLost closes an unused connection that has been idle for so long that its next use would likely
// be lost.
func (c *PooledConn) closeIfLikelyLost() {
	if c.InUse == 0 && c.Connected() && c.pool.pools.idleLoss.maxUpTo(c.idleBucket()) > maxLossFraction {
		c.retire()
	}
}

// retire excludes the connection from new uses and closes it once it has no use in progress.
func (c *PooledConn) retire() {
	c.Stale = true
	c.closeIfStaleAndUnused()
}

func (c *PooledConn) closeIfStaleAndUnused() {
	if c.Stale && c.InUse == 0 && !c.Ended() {
		c.Close()
		c.RemoveFromPool()
	}
}

func (c *PooledConn) now() eventloop.Timestamp { return c.pool.pools.loop.Now() }
