package proxy

// This file records why client connections are still open while clients are to be disconnected, for the log and the
// metrics.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

// holdReportInterval is the time between two reports on the connections that are still held, and before the first one.
const holdReportInterval = 500 * time.Millisecond

// connHold says why a connection is held although clients are to be disconnected.
type connHold struct {
	reason policy.Reason       // empty: it is not held
	since  eventloop.Timestamp // when the reason began to apply
}

// update records the present reason. The time of a reason that still applies stays.
func (h *connHold) update(reason policy.Reason, now eventloop.Timestamp) {
	if h.reason != reason {
		*h = connHold{reason: reason, since: now}
	}
}

// maxReportedHolds is the number of connections in a report. The number of log lines with the same message is limited, and
// those that are held to the end are to be among them.
const maxReportedHolds = 2

// reportHeldConns logs, once per holdReportInterval, the connections that have been held for longest for one reason.
func (f *FastCGIServer) reportHeldConns() {
	now := f.loop.Now()
	if f.nextHoldReport == 0 {
		f.nextHoldReport = now + holdReportInterval
	}
	if now < f.nextHoldReport {
		return
	}
	f.nextHoldReport = now + holdReportInterval
	var held []*clientConn
	for c := range f.conns {
		if c.hold.reason != "" {
			held = append(held, c)
		}
	}
	slices.SortFunc(held, func(a, b *clientConn) int { return cmp.Compare(a.hold.since, b.hold.since) })
	for _, c := range held[:min(len(held), maxReportedHolds)] {
		c.logHold("client connection held")
	}
}

// logHold logs why the connection is held, since when, and what is open on it.
func (c *clientConn) logHold(message string) {
	now := c.server.loop.Now()
	c.server.log.Info(message, "connection", c.number, "phase", c.server.lifecycle.phase,
		"reason", c.hold.reason, "held", now-c.hold.since, "age", c.conn.Age(), "idle", c.idleTime(),
		"requests", c.openRequestIDs(), "blocked", len(c.blocked), "queued_bytes", c.conn.QueuedBytes(),
		"unacknowledged_bytes", c.conn.UnackedBytes(), "delivery", c.conn.DeliveryTime(), "closing", c.conn.Ended())
}

// openRequestIDs returns the ids that the client has given to its open requests, in a fixed order.
func (c *clientConn) openRequestIDs() []string {
	var ids []string
	for _, b := range c.blocked {
		ids = append(ids, b.parsed.ID)
	}
	for _, number := range slices.Sorted(maps.Values(c.openRequests)) {
		if id := c.server.handler.requestID(number); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// countHeldConns returns the number of held connections by reason.
func (f *FastCGIServer) countHeldConns() map[policy.Reason]int {
	held := map[policy.Reason]int{}
	for c := range f.conns {
		if c.hold.reason != "" {
			held[c.hold.reason]++
		}
	}
	return held
}

// forgetHolds ends all holds: clients are not to be disconnected any more.
func (f *FastCGIServer) forgetHolds() {
	for c := range f.conns {
		c.hold = connHold{}
	}
	f.nextHoldReport = 0
}
