package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a request that has arrived whole at a server.
type call struct {
	id      string
	fields  map[string]string
	body    []byte
	arrived time.Time
	conn    *serverConn
}

// server plays a cache, a parent or the origin. It answers each call as its handler says.
type server struct {
	r              *rig
	id, kind, zone string
	weight         float64
	startedMillis  int64
	addr           string
	handle         func(c *call) // runs on a goroutine of its own

	mu    sync.Mutex
	calls []*call
	conns map[net.Conn]bool
}

// serverConn is one connection to a server.
type serverConn struct {
	net.Conn
	mu      sync.Mutex
	stopped map[string]bool
}

// startServer opens a server on a free address. A nil handler answers every call at once, from a copy made now.
func (r *rig) startServer(id, kind, zone string, handle func(c *call)) (*server, error) {
	ln, err := r.listen()
	if err != nil {
		return nil, err
	}
	s := &server{r: r, id: id, kind: kind, zone: zone, weight: 8, addr: ln.Addr().String(), handle: handle, conns: map[net.Conn]bool{}}
	if s.handle == nil {
		s.handle = func(c *call) { c.serve(objectBytes(c.fields["k"], 2000), time.Now(), "TCP_HIT") }
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(&serverConn{Conn: conn, stopped: map[string]bool{}})
		}
	}()
	r.onStop(s.reset)
	return s, nil
}

// reset closes all connections.
func (s *server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close() //nolint:errcheck // it may have ended
	}
	clear(s.conns)
}

// entry is the server's entry in the list.
func (s *server) entry(state string) map[string]any {
	return map[string]any{"id": s.id, "addr": s.addr, "zone": s.zone, "kind": s.kind, "cell": 0, "state": state,
		"weight": s.weight, "started_ms": s.startedMillis}
}

func (s *server) serve(conn *serverConn) {
	defer func() {
		conn.Close() //nolint:errcheck // it may have ended
		s.mu.Lock()
		delete(s.conns, conn.Conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, 64<<10)
	for {
		words, err := readArray(in)
		if err != nil {
			return
		}
		if string(words[0]) == "STOP" && len(words) == 2 {
			conn.mu.Lock()
			conn.stopped[string(words[1])] = true
			conn.mu.Unlock()
			continue
		}
		if string(words[0]) != "REQ" || len(words) != 4 {
			return
		}
		c := &call{id: string(words[1]), fields: map[string]string{}, body: words[3], arrived: time.Now(), conn: conn}
		for _, field := range strings.Split(string(words[2]), ",") {
			name, value, _ := strings.Cut(field, "=")
			c.fields[name] = value
		}
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
		s.r.logf("server %s: runs %s (%s, object %s)", s.id, c.id, c.fields["c"], c.fields["k"])
		go s.handle(c)
	}
}

// isStopped reports whether the call was given up.
func (c *call) isStopped() bool {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	return c.conn.stopped[c.id]
}

// serve answers 'served'.
func (c *call) serve(body []byte, made time.Time, note string) {
	c.answer("served", fmt.Sprintf("etag=%s,made=%d,note=%s,ttfb=1", tagOf(body), made.UnixMilli(), note), body)
}

// answer writes an answer, unless the call was given up.
func (c *call) answer(word, fields string, body []byte) {
	if c.isStopped() {
		return
	}
	var b strings.Builder
	b.WriteString("*4\r\n")
	for _, part := range []string{c.id, word, fields, string(body)} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(part), part)
	}
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	io.WriteString(c.conn.Conn, b.String()) //nolint:errcheck // the connection may have ended
}

// readArray reads one RESP array of bulk strings.
func readArray(in *bufio.Reader) ([][]byte, error) {
	count, err := readNumber(in, '*')
	if err != nil {
		return nil, err
	}
	words := make([][]byte, count)
	for i := range words {
		size, err := readNumber(in, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words[i] = word[:size]
	}
	return words, nil
}

func readNumber(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("unexpected %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// objectBytes returns the bytes of an object: its name, then filling.
func objectBytes(key string, size int) []byte {
	body := make([]byte, size)
	copy(body, key)
	for i := len(key); i < size; i++ {
		body[i] = byte(i)
	}
	return body
}

// tagOf returns the tag of a copy, 16 hex digits.
func tagOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
