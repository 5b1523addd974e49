package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The FastCGI record types in use.
const (
	recordBegin  = 1
	recordAbort  = 2
	recordEnd    = 3
	recordParams = 4
	recordStdin  = 5
	recordStdout = 6
)

// reply is the answer to a request.
type reply struct {
	status   string // the CGI status; "overloaded"; "lost": the connection ended without a whole answer
	headers  string
	body     []byte
	received time.Time
}

// class groups the statuses: served, refused, failed or lost.
func (a reply) class() string {
	switch {
	case a.status == "lost":
		return "lost"
	case strings.HasPrefix(a.status, "200"):
		return "served"
	case strings.HasPrefix(a.status, "429"), strings.HasPrefix(a.status, "503"), a.status == "overloaded":
		return "refused"
	}
	return "failed"
}

// ask is a request of a client.
type ask struct {
	id, class, key string
	wait           time.Duration
	lot            int
	version        string
	body           []byte
	sent           time.Time
	reply          chan reply
	answer         *reply // nil: none was received
}

var lastID atomic.Uint64

// newAsk returns a request with a new id.
func newAsk(class, key string, wait time.Duration) *ask {
	return &ask{id: fmt.Sprintf("%016x", 0xa000000000000000+lastID.Add(1)), class: class, key: key, wait: wait, reply: make(chan reply, 1)}
}

// client is one connection of a web server.
type client struct {
	conn net.Conn

	mu     sync.Mutex
	nextID uint16
	open   map[uint16]*ask
	output map[uint16][]byte
	ended  bool
}

// dial connects a client and reads its answers.
func dial(addr string) (*client, error) {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, open: map[uint16]*ask{}, output: map[uint16][]byte{}}
	go c.read(bufio.NewReaderSize(conn, 64<<10))
	return c, nil
}

// record encodes one FastCGI record.
func record(kind byte, id uint16, content []byte) []byte {
	b := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 0, 0}
	return append(b, content...)
}

// begin encodes BEGIN_REQUEST for a responder that keeps the connection.
func begin(id uint16) []byte { return record(recordBegin, id, []byte{0, 1, 1, 0, 0, 0, 0, 0}) }

// pairs encodes name-value pairs.
func pairs(list ...string) []byte {
	var b []byte
	for i := 0; i < len(list); i += 2 {
		for _, s := range list[i : i+2] {
			if len(s) < 128 {
				b = append(b, byte(len(s)))
			} else {
				b = binary.BigEndian.AppendUint32(b, uint32(len(s))|1<<31)
			}
		}
		b = append(b, list[i]+list[i+1]...)
	}
	return b
}

// encode encodes a request.
func (a *ask) encode(id uint16) []byte {
	fields := []string{"SCRIPT_NAME", "/ops/" + a.class, "HTTP_REQ_ID", a.id, "HTTP_REQ_KEY", a.key,
		"HTTP_REQ_WAIT_MS", strconv.FormatInt(a.wait.Milliseconds(), 10), "HTTP_X_PIECE", "0", "HTTP_X_LOT", strconv.Itoa(a.lot)}
	if a.version != "" {
		fields = append(fields, "HTTP_X_VER", a.version)
	}
	b := append(begin(id), record(recordParams, id, pairs(fields...))...)
	b = append(b, record(recordParams, id, nil)...)
	if len(a.body) > 0 {
		b = append(b, record(recordStdin, id, a.body)...)
	}
	return append(b, record(recordStdin, id, nil)...)
}

// send sends a request. Its answer arrives on a.reply.
func (c *client) send(a *ask) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		a.sent = time.Now()
		a.reply <- reply{status: "lost", received: time.Now()}
		return
	}
	c.nextID++
	for c.nextID == 0 || c.open[c.nextID] != nil {
		c.nextID++
	}
	id := c.nextID
	c.open[id] = a
	a.sent = time.Now()
	c.mu.Unlock()
	c.conn.Write(a.encode(id)) //nolint:errcheck // the reader notices the end
}

// read reads records until the connection ends.
func (c *client) read(in *bufio.Reader) {
	header := make([]byte, 8)
	for {
		if _, err := io.ReadFull(in, header); err != nil {
			break
		}
		content := make([]byte, int(binary.BigEndian.Uint16(header[4:]))+int(header[6]))
		if _, err := io.ReadFull(in, content); err != nil {
			break
		}
		content = content[:binary.BigEndian.Uint16(header[4:])]
		c.handle(header[1], binary.BigEndian.Uint16(header[2:]), content)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for id, a := range c.open {
		delete(c.open, id)
		a.reply <- reply{status: "lost", received: time.Now()}
	}
}

func (c *client) handle(kind byte, id uint16, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch kind {
	case recordStdout:
		c.output[id] = append(c.output[id], content...)
	case recordEnd:
		a := c.open[id]
		delete(c.open, id)
		output := c.output[id]
		delete(c.output, id)
		if a == nil {
			return
		}
		answer := reply{received: time.Now()}
		head, body, _ := strings.Cut(string(output), "\r\n\r\n")
		status, headers, _ := strings.Cut(head, "\r\n")
		answer.status = strings.TrimPrefix(status, "Status: ")
		answer.headers = headers
		answer.body = []byte(body)
		if len(output) == 0 {
			answer.status = "overloaded"
		}
		a.reply <- answer
	}
}
