package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// coordinator is a sound coordinator: it numbers events, and tells each stream those after the index it asks for, with
// the last number once a second.
type coordinator struct {
	r    *rig
	addr string

	mu       sync.Mutex
	lines    []string         // the events; the first has the index 1
	conns    map[net.Conn]int // the open streams, with the index that each was told last
	down     bool             // streams end, and nobody listens
	listener net.Listener
	changed  chan struct{} // closed at the next event
}

func newCoordinator(r *rig) *coordinator {
	return &coordinator{r: r, conns: map[net.Conn]int{}, changed: make(chan struct{})}
}

// start opens the coordinator's address: the one it had, if it had one.
func (c *coordinator) start() error {
	addr := c.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.addr = ln.Addr().String()
	c.listener = ln
	c.down = false
	c.mu.Unlock()
	c.r.onStop(func() { ln.Close() }) //nolint:errcheck // at the end
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if !c.register(conn) {
				ln.Close()   //nolint:errcheck // it is down
				conn.Close() //nolint:errcheck // it is down
				return
			}
			go c.serve(conn)
		}
	}()
	return nil
}

// register adds a stream, unless the coordinator is down.
func (c *coordinator) register(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.down {
		c.conns[conn] = 0
	}
	return !c.down
}

// goDown ends all streams, and refuses others for a time.
func (c *coordinator) goDown(length time.Duration) {
	c.mu.Lock()
	c.down = true
	if c.listener != nil {
		c.listener.Close() //nolint:errcheck // it is down
	}
	for conn := range c.conns {
		conn.Close() //nolint:errcheck // it may have ended
	}
	c.mu.Unlock()
	c.r.logf("coordinator: down")
	time.Sleep(length)
	err := c.start()
	index, _ := c.known()
	c.r.logf("coordinator: back, with %d events (error: %v)", index, err)
}

// add adds events.
func (c *coordinator) add(events ...map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		event["index"] = len(c.lines) + 1
		text, _ := json.Marshal(event)
		c.lines = append(c.lines, string(text))
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// publish adds events, and writes them down.
func (c *coordinator) publish(events ...map[string]any) {
	c.add(events...)
	for _, event := range events {
		text, _ := json.Marshal(event)
		c.r.logf("coordinator: %.400s", text)
	}
}

// known returns the events so far.
func (c *coordinator) known() (index int, updates []json.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, line := range c.lines {
		updates = append(updates, json.RawMessage(line))
	}
	return len(c.lines), updates
}

// after returns the lines of the events after an index, and what closes at the next one.
func (c *coordinator) after(index int) (lines []string, changed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lines[min(index, len(c.lines)):], c.changed
}

// serve follows the protocol on one stream.
func (c *coordinator) serve(conn net.Conn) {
	defer func() {
		conn.Close() //nolint:errcheck // it may have ended
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	index, err := strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(line), "follow "))
	if err != nil {
		return
	}
	out := bufio.NewWriter(conn)
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		lines, changed := c.after(index)
		for _, l := range lines {
			fmt.Fprintln(out, l) //nolint:errcheck // Flush reports it
		}
		index += len(lines)
		if out.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			fmt.Fprintln(out, index) //nolint:errcheck // Flush reports it
		}
	}
}

// list is the event with the whole list.
func list(servers ...*server) map[string]any {
	var entries []any
	for _, s := range servers {
		entries = append(entries, s.entry("SERVING"))
	}
	return map[string]any{"endpoints": map[string]any{"version": 1, "full": true, "servers": entries}}
}
