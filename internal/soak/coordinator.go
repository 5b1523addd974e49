package soak

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	progressInterval = time.Second
	// slowLineTime is how long a slow coordinator takes over one line of its list, steadily: what is behind it comes within the 7 s
	// after which it counts as told.
	slowLineTime = 6 * time.Second
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

// watchServer is the coordinator's address for one proxy.
type watchServer struct {
	c         *coordinator
	proxy     int
	addr      string
	mode      coordinatorMode
	modeSetAt time.Duration // when the mode was set
	slowEvent int           // the event that is brought slowly, to every follower; 0: none yet
	listener  net.Listener
	streams   map[net.Conn]bool
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

func (p *watchServer) listen() error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.c.mu.Lock()
	p.listener, p.addr = ln, ln.Addr().String()
	p.c.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return nil
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

// serve brings the events to one follower.
func (p *watchServer) serve(conn net.Conn) {
	p.c.mu.Lock()
	p.streams[conn] = true
	p.c.mu.Unlock()
	defer func() {
		p.c.mu.Lock()
		delete(p.streams, conn)
		p.c.mu.Unlock()
		conn.Close() //nolint:errcheck // it may have ended
	}()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	var index int
	if _, scan := fmt.Sscanf(line, "follow %d", &index); err != nil || scan != nil {
		return
	}
	p.c.h.Note("coord", "proxy-%d follows from %d", p.proxy, index)
	ended := make(chan struct{})
	go func() {
		in.ReadByte() //nolint:errcheck // nothing comes; its end does
		close(ended)
	}()
	for ticked := time.Now(); ; {
		select {
		case <-ended:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if p.c.modeOf(p) == modeSilent {
			continue
		}
		text, event, last := p.c.after(index)
		if event == nil && time.Since(ticked) < progressInterval {
			continue
		}
		if event == nil {
			ticked = time.Now()
			text = fmt.Sprint(last)
		}
		if !p.writePaced(conn, text+"\n", p.byteInterval(event, len(text))) {
			return
		}
		if event != nil {
			index++
			p.c.h.locked(func() {
				if _, told := event.DeliveredAt[p.proxy]; !told {
					event.DeliveredAt[p.proxy] = p.c.h.Now()
				}
			})
			p.c.h.Note("coord", "told proxy-%d event %d", p.proxy, event.Index)
		}
	}
}

// byteInterval is how long each byte of a line takes; 0: the line comes at once.
func (p *watchServer) byteInterval(e *WatchEvent, size int) time.Duration {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if e == nil || p.mode != modeSlow || len(e.Withdrawn)+len(e.Serving) == 0 || p.slowEvent != 0 && p.slowEvent != e.Index {
		return 0
	}
	p.slowEvent = e.Index
	return slowLineTime / time.Duration(size)
}

// writePaced writes a line.
func (p *watchServer) writePaced(conn net.Conn, line string, pace time.Duration) bool {
	for len(line) > 0 {
		size := len(line)
		if pace > 0 {
			size = 1
			time.Sleep(pace)
		}
		if _, err := conn.Write([]byte(line[:size])); err != nil {
			return false
		}
		line = line[size:]
	}
	return true
}
