package connpool

import (
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
)

const (
	// initialConnectTime is the assumed median of a server's connect times before any has been seen.
	initialConnectTime = 10 * time.Millisecond

	// medianStepDivisor makes the step by which the estimated median moves a fraction of itself.
	medianStepDivisor = 5

	// overdueFactor is the multiple of the median connect time after which a connection is overdue.
	overdueFactor = 3

	// minOverdueAfter is the least time after which a connection is overdue.
	minOverdueAfter = 5 * time.Millisecond
)

// PooledConn is one pooled connection.
type PooledConn struct {
	*eventloop.Conn
	Owner eventloop.Handler // the connection's handler, made by the function that New was given
	InUse int               // uses in progress
	Stale bool              // accepts no new use and is closed when the last one has ended

	pool            *endpointPool
	connectRecorded bool                // the connect time has been counted
	lastReleasedAt  eventloop.Timestamp // when a use last ended; 0: none has

	pendingBucket idleBucket          // bucket of the first of the uses in progress until its loss or success is counted
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

// EndpointID is the id of the endpoint that the connection belongs to.
func (c *PooledConn) EndpointID() string { return c.pool.id }

// MarkAlive records that input has arrived since the last use began: the connection was not lost.
func (c *PooledConn) MarkAlive() {
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
		c.pendingBucket = noBucket // a use that was abandoned shows neither loss nor success
	}
	c.closeIfStaleAndUnused()
}

// RemoveFromPool removes an ended connection from its pool. A connection that ends immediately after its use
// began counts as lost before.
func (c *PooledConn) RemoveFromPool() {
	outcomePending := c.Connected() && c.InUse > 0 && c.pendingBucket != noBucket
	if outcomePending && c.now()-c.useStartedAt < lossDetectionWindow {
		c.pool.pools.idleLoss.recordLoss(c.pendingBucket)
	}
	before := len(c.pool.conns)
	c.pool.conns = slices.DeleteFunc(c.pool.conns, func(other *PooledConn) bool { return other == c })
	c.pool.pools.connCount -= before - len(c.pool.conns)
}

// ConnectPatience is how long a connection to this server may take to be established before it is overdue.
func (c *PooledConn) ConnectPatience() time.Duration {
	return max(minOverdueAfter, overdueFactor*c.pool.medianConnectTime)
}

// overdue reports whether the connection has not been established within ConnectPatience.
func (c *PooledConn) overdue() bool { return !c.Connected() && c.Age() > c.ConnectPatience() }

// recordConnect counts the connect time once. The estimate follows the median in small steps, so that a few
// very long connect times do not raise it much.
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

// idleBucket is the bucket of the time for which a connection without uses has been idle.
func (c *PooledConn) idleBucket() idleBucket {
	if c.lastReleasedAt == 0 {
		return newConnBucket
	}
	return bucketOfIdleTime(c.now() - c.lastReleasedAt)
}

// closeIfLikelyLost closes a connection that has been idle for so long that its next use would likely be
// lost.
func (c *PooledConn) closeIfLikelyLost() {
	if c.InUse == 0 && c.Connected() && c.pool.pools.idleLoss.maxUpTo(c.idleBucket()) > maxLossFraction {
		c.retire()
	}
}

// retire gives the connection no new use and closes it once it has none.
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
