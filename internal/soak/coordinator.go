package soak

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// reopenInterval is the time between two attempts to listen again on an address that a connection has taken in the
// meantime.
const reopenInterval = 10 * time.Millisecond

// coordinatorMode says how the coordinator behaves toward one proxy.
type coordinatorMode int

// The modes of the coordinator.
const (
	modeHealthy       coordinatorMode = iota
	modeDown                          // connections are refused, and open streams are closed
	modeSilent                        // streams stay open and send nothing
	modeSlow                          // streams send one event of the endpoint list byte by byte
	modeTruncateClose                 // some streams are closed in the middle of an event's line
	modeTruncateStall                 // some streams stop sending in the middle of an event's line and stay open
	modeHalfPrefix                    // some streams send half of an event's line before the whole line
	modeDuplicate                     // each event is sent twice
)

// coordinator is a stand-in for the real coordinator. It serves each proxy at a separate address, so that it knows
// which event has been sent to which proxy.
type coordinator struct {
	history *History

	mu           sync.Mutex // guards the fields below and those of the watch servers
	lines        []string   // lines of the events, whose indexes start at 1
	events       []*WatchEvent
	watchServers map[int]*watchServer // by proxy number
}

func newCoordinator(history *History) *coordinator {
	return &coordinator{history: history, watchServers: map[int]*watchServer{}}
}

// serveProxy opens the address for a proxy.
func (c *coordinator) serveProxy(p *process, addr string) error {
	ws := &watchServer{c: c, proxy: p.number, addr: addr, incarnationOf: p.incarnationOf, streams: map[net.Conn]bool{}}
	c.mu.Lock()
	c.watchServers[p.number] = ws
	c.mu.Unlock()
	return ws.listen()
}

// addrFor returns the address for a proxy.
func (c *coordinator) addrFor(proxy int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchServers[proxy].addr
}

// setMode sets the coordinator's mode for a proxy. If the mode before withheld events, it records the span in the
// history. After modeDown, it returns when the address is open again.
func (c *coordinator) setMode(proxy int, m coordinatorMode) {
	c.mu.Lock()
	ws := c.watchServers[proxy]
	previousMode := ws.mode
	now := c.history.Now()
	if previousMode == modeDown || previousMode == modeSilent {
		c.history.withLock(func() { c.history.Withheld[proxy] = append(c.history.Withheld[proxy], Span{ws.modeSetAt, now}) })
	}
	ws.mode = m
	ws.modeSetAt = now
	ws.slowEventIndex = 0
	ws.corruption = newCorruption(m)
	if m == modeDown && previousMode != modeDown {
		ws.closeAll()
	}
	c.mu.Unlock()
	if previousMode == modeDown && m != modeDown {
		for ws.listen() != nil {
			time.Sleep(reopenInterval)
		}
	}
}

// publish publishes an event with the next index. format is the event's line with one verb, for the index.
func (c *coordinator) publish(e *WatchEvent, format string) {
	c.mu.Lock()
	e.Index = len(c.events) + 1
	e.PublishedAt = c.history.Now()
	e.DeliveredAt = map[processID]time.Duration{}
	c.events = append(c.events, e)
	line := fmt.Sprintf(format, e.Index)
	c.lines = append(c.lines, line)
	c.mu.Unlock()
	c.history.withLock(func() { c.history.Events = append(c.history.Events, e) })
	c.history.Logf("coord", "event %s", line)
}

// knownEvents returns the index of the last event, and the well-formed events as the JSON list in a
// proxy's configuration.
func (c *coordinator) knownEvents() (lastIndex int, updates string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isMalformed := func(line string) bool { return !strings.HasPrefix(line, `{"index"`) }
	wellFormedLines := slices.DeleteFunc(slices.Clone(c.lines), isMalformed)
	return len(c.lines), "[" + strings.Join(wellFormedLines, ",") + "]"
}

// eventAfter returns the event that follows an index, its line, and the index of the last event. The event is nil if
// none follows.
func (c *coordinator) eventAfter(index int) (line string, e *WatchEvent, lastIndex int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lastIndex = len(c.lines)
	if index >= lastIndex {
		return "", nil, lastIndex
	}
	return c.lines[index], c.events[index], lastIndex
}

// recordDelivery records that an event's line has been written to a process. Only the first delivery is kept.
func (c *coordinator) recordDelivery(e *WatchEvent, to processID) {
	c.history.withLock(func() {
		_, delivered := e.DeliveredAt[to]
		if !delivered {
			e.DeliveredAt[to] = c.history.Now()
		}
	})
	c.history.Logf("coord", "delivered event %d to proxy-%d, incarnation %d", e.Index, to.proxy, to.incarnation)
}

// stop closes all addresses.
func (c *coordinator) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ws := range c.watchServers {
		if ws.listener != nil {
			ws.listener.Close() //nolint:errcheck // it is not used any more
		}
	}
}
