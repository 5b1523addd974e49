package eventloop

import "time"

// Group is a class of connections that share a part of each turn, so that none of them holds up those of another
// group, however much it is sent.
type Group int

// The groups, in the order in which a turn serves them.
const (
	Watch     Group = iota // streams of configuration events
	Servers                // dialed connections, unless SetGroup says otherwise
	Clients                // accepted connections, unless SetGroup says otherwise
	Operators              // calls of operators
	groupCount
)

const (
	// groupTime is the part of a turn in which the connections of one group are served. At least one of them is served
	// in each turn.
	groupTime = 4 * time.Millisecond

	// timerTime is the part of a turn in which timers are called. At least one that is due is called in each turn.
	timerTime = 4 * time.Millisecond

	// acceptTime is the part of a turn in which a listener accepts connections.
	acceptTime = 2 * time.Millisecond

	// minSlice is the least time in a turn for the input of one connection that is served.
	minSlice = 100 * time.Microsecond

	// clientReadBytes is the most that one read of an accepted connection returns. Input that its handler has no time
	// for in a turn is buffered, so that it bounds the buffers as well.
	clientReadBytes = 16 << 10
)

// SetGroup sets the group of the connection.
func (c *Conn) SetGroup(group Group) { c.group = group }

// SliceOver reports whether the connection has used up its time in this turn. A handler with more input may then call
// Yield. It is never true before the first read of the turn has been passed to the handler.
func (c *Conn) SliceOver() bool { return c.loop.clock.Now() >= c.sliceEnd }

// Yield has the input that Receive leaves unconsumed passed to it again in a later turn, without waiting for more. It
// is for use in Receive.
func (c *Conn) Yield() { c.yielded = true }

// YieldGroup yields, and leaves the rest of the connection's group for the next turn as well: what they bring costs more
// than the time of the group shows.
func (c *Conn) YieldGroup() {
	c.Yield()
	c.loop.groupYielded = true
}

// enqueue adds a connection to the ready ones of its group, with the epoll events to handle.
func (l *Loop) enqueue(c *Conn, events uint32) {
	c.readyEvents |= events
	if c.queued {
		return
	}
	c.queued = true
	c.delays.recordReady(l)
	l.ready[c.group] = append(l.ready[c.group], c)
}

// hasReady reports whether connections are left for the next turn.
func (l *Loop) hasReady() bool {
	for _, queue := range l.ready {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// serveReady serves the ready connections, group by group, those that have waited longest first. What the time of a
// group does not suffice for is left for the next turn.
func (l *Loop) serveReady() {
	for group := range l.ready {
		l.serveGroup(Group(group))
	}
}

// serveGroup serves the ready connections of one group. One that becomes ready again meanwhile is served in the next
// turn.
func (l *Loop) serveGroup(group Group) {
	queue := l.ready[group]
	if len(queue) == 0 {
		return
	}
	l.ready[group] = nil
	l.slice = max(minSlice, groupTime/time.Duration(len(queue)))
	end := l.clock.Now() + groupTime
	l.groupYielded = false
	served := 0
	for served < len(queue) && (served == 0 || !l.groupYielded && l.clock.Now() < end) {
		queue[served].serve()
		served++
	}
	l.ready[group] = append(queue[served:], l.ready[group]...)
}

// serve handles the epoll events of a ready connection, and input that its handler had no time for.
func (c *Conn) serve() {
	c.queued = false
	events := c.readyEvents
	c.readyEvents = 0
	if c.closed {
		return
	}
	c.processEvents(events)
	if c.yielded && !c.closed {
		c.loop.enqueue(c, 0)
	}
}
