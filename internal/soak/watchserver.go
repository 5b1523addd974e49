package soak

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

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

const (
	progressInterval = time.Second
	// slowLineTime is how long a slow coordinator takes over one line of its list, steadily: what is behind it comes within the 7 s
	// after which it counts as told.
	slowLineTime = 6 * time.Second
)

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
