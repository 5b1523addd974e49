package soak

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// coordinatorMode is how a coordinator behaves to one proxy.
type coordinatorMode int

const (
	modeHealthy coordinatorMode = iota
	modeDown                    // it refuses connections, and its streams have ended
	modeSilent                  // its streams stay open and bring nothing
	modeSlow                    // they bring one line of the list a byte at a time
)

// coordinator stands in for the coordinator: each proxy has an address of its own for it, so that what was told to whom is known.
type coordinator struct {
	h            *History
	mu           sync.Mutex
	lines        []string // of the events, the first has number 1
	events       []*WatchEvent
	watchServers map[int]*watchServer // by proxy
}

func newCoordinator(h *History) *coordinator {
	return &coordinator{h: h, watchServers: map[int]*watchServer{}}
}

// serveProxy opens the address for a proxy.
func (c *coordinator) serveProxy(proxy int, addr string) error {
	p := &watchServer{c: c, proxy: proxy, addr: addr, streams: map[net.Conn]bool{}}
	c.mu.Lock()
	c.watchServers[proxy] = p
	c.mu.Unlock()
	return p.listen()
}

// setMode changes how the coordinator behaves to a proxy.
func (c *coordinator) setMode(proxy int, m coordinatorMode) {
	c.mu.Lock()
	p := c.watchServers[proxy]
	before := p.mode
	p.mode, p.slowEvent = m, 0
	now := c.h.Now()
	if before == modeDown || before == modeSilent {
		c.h.locked(func() { c.h.Withheld[proxy] = append(c.h.Withheld[proxy], [2]time.Duration{p.modeSetAt, now}) })
	}
	p.modeSetAt = now
	if m == modeDown && before != modeDown {
		p.listener.Close() //nolint:errcheck // it listens no more in any case
		for conn := range p.streams {
			conn.Close() //nolint:errcheck // it may have ended
		}
	}
	c.mu.Unlock()
	if before == modeDown && m != modeDown {
		for p.listen() != nil { // its port is taken by a connection for a moment
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (c *coordinator) modeOf(p *watchServer) coordinatorMode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.mode
}

// publish tells an event to everybody. Its line gets the next number in place of the verb.
func (c *coordinator) publish(e *WatchEvent, format string) {
	c.mu.Lock()
	e.Index = len(c.events) + 1
	e.PublishedAt, e.DeliveredAt = c.h.Now(), map[int]time.Duration{}
	c.events = append(c.events, e)
	line := fmt.Sprintf(format, e.Index)
	c.lines = append(c.lines, line)
	c.mu.Unlock()
	c.h.locked(func() { c.h.Events = append(c.h.Events, e) })
	c.h.Note("coord", "event %s", line)
}

// knownEvents are the events so far, as a configuration holds them.
func (c *coordinator) knownEvents() (index int, updates string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sound := slices.DeleteFunc(slices.Clone(c.lines), func(line string) bool { return !strings.HasPrefix(line, "{\"index\"") })
	return len(c.lines), "[" + strings.Join(sound, ",") + "]"
}

func (c *coordinator) after(index int) (line string, e *WatchEvent, last int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index < len(c.lines) {
		return c.lines[index], c.events[index], len(c.lines)
	}
	return "", nil, len(c.lines)
}
