package soak

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"time"
)

const (
	// heartbeatInterval is the interval at which a stream without new events sends a heartbeat: the index of the last
	// event.
	heartbeatInterval = time.Second
	// eventPollInterval is the interval at which a stream checks for the next event.
	eventPollInterval = 2 * time.Millisecond
	// slowLineTime is the time that a slow stream takes to send one line. Sending that line and the next one takes no
	// longer than maxNotifyDelay.
	slowLineTime = 6 * time.Second
)

// watchServer serves the coordinator's watch streams of one proxy.
type watchServer struct {
	c     *coordinator
	proxy int
	// incarnationOf returns which incarnation of the proxy holds the other end of a connection; 0: unknown.
	incarnationOf func(conn net.Conn) int

	// Guarded by the coordinator's mu:
	addr           string
	mode           coordinatorMode
	modeSetAt      time.Duration
	slowEventIndex int // index of the event that slow streams send slowly; 0: none yet
	corruption     corruption
	listener       net.Listener
	streams        map[net.Conn]bool
}

// listen opens the address and serves streams until the listener is closed.
func (ws *watchServer) listen() error {
	listener, err := net.Listen("tcp", ws.addr)
	if err != nil {
		return err
	}
	ws.c.mu.Lock()
	ws.listener = listener
	ws.addr = listener.Addr().String()
	ws.c.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go ws.serve(conn)
		}
	}()
	return nil
}

// closeAll closes the listener and all streams. The caller holds the coordinator's mu.
func (ws *watchServer) closeAll() {
	ws.listener.Close() //nolint:errcheck // it is not used any more
	for conn := range ws.streams {
		conn.Close() //nolint:errcheck // the proxy may have closed it
	}
}

func (ws *watchServer) addStream(conn net.Conn) {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	ws.streams[conn] = true
}

func (ws *watchServer) removeStream(conn net.Conn) {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	delete(ws.streams, conn)
}

func (ws *watchServer) isSilent() bool {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	return ws.mode == modeSilent
}

// serve reads the index that a proxy follows from, and sends the proxy the events after that index until the
// connection ends.
func (ws *watchServer) serve(conn net.Conn) {
	ws.addStream(conn)
	defer func() {
		ws.removeStream(conn)
		conn.Close() //nolint:errcheck // the proxy may have closed it
	}()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	var index int
	if _, err := fmt.Sscanf(line, "follow %d", &index); err != nil {
		return
	}
	follower := processID{ws.proxy, ws.incarnationOf(conn)}
	ws.c.history.Logf("coord", "proxy-%d, incarnation %d, follows from %d", follower.proxy, follower.incarnation, index)
	ended := make(chan struct{})
	go func() {
		in.ReadByte() //nolint:errcheck // the proxy sends nothing more, so this returns when the connection ends
		close(ended)
	}()
	ws.sendEvents(conn, follower, index, ended)
}

// sendEvents writes the events after an index to a process, each once it is published, until the connection ends or is
// to be closed. While there is no new event, it writes a heartbeat every heartbeatInterval.
func (ws *watchServer) sendEvents(conn net.Conn, follower processID, index int, ended <-chan struct{}) {
	lastHeartbeat := time.Now()
	for {
		select {
		case <-ended:
			return
		case <-time.After(eventPollInterval):
		}
		if ws.isSilent() {
			continue
		}
		line, event, lastIndex := ws.c.eventAfter(index)
		if event == nil {
			if time.Since(lastHeartbeat) < heartbeatInterval {
				continue
			}
			lastHeartbeat = time.Now()
			ws.recordHeartbeat()
			line = strconv.Itoa(lastIndex)
		}
		output, nextAction := ws.corrupt(event, line)
		if !writePaced(conn, output, ws.byteInterval(event, len(line))) {
			return
		}
		switch nextAction {
		case closeStream:
			return
		case stallStream:
			<-ended
			return
		case continueUndelivered:
			index++
		case continueDelivered:
			if event != nil {
				index++
				ws.c.recordDelivery(event, follower)
			}
		}
	}
}

// byteInterval returns the pause between two bytes of a line, or 0 if the line is written at once. Slow streams are
// slow for one event of the endpoint list only, the same one for all streams of the proxy.
func (ws *watchServer) byteInterval(e *WatchEvent, lineBytes int) time.Duration {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	if ws.mode != modeSlow || e == nil || !e.changesEndpoints() {
		return 0
	}
	if ws.slowEventIndex != 0 && ws.slowEventIndex != e.Index {
		return 0
	}
	ws.slowEventIndex = e.Index
	return slowLineTime / time.Duration(lineBytes)
}

// changesEndpoints reports whether an event changes the endpoint list.
func (e *WatchEvent) changesEndpoints() bool { return len(e.Withdrawn)+len(e.Serving) > 0 }

// writePaced writes a line: at once if byteInterval is 0, else byte by byte with that pause before each. It returns
// false if the connection has ended.
func writePaced(conn net.Conn, line string, byteInterval time.Duration) bool {
	if byteInterval == 0 {
		_, err := conn.Write([]byte(line))
		return err == nil
	}
	for _, b := range []byte(line) {
		time.Sleep(byteInterval)
		if _, err := conn.Write([]byte{b}); err != nil {
			return false
		}
	}
	return true
}
