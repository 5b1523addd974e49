package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Record types of FastCGI.
const (
	recordBegin  = 1
	recordEnd    = 3
	recordParams = 4
	recordStdin  = 5
	recordStdout = 6
)

// MaxOpen is how many requests a client may have open on one connection.
const MaxOpen = 32

// Request is one request of a client, with what came of it.
type Request struct {
	ID, Class, Object string
	Wait              time.Duration
	Group             int

	SentAt     time.Time // when its last byte was written
	AnsweredAt time.Time // when END_REQUEST was read; zero: no whole answer
	Status     string    // of the CGI response, or the protocol status
	Body       []byte
	Answers    int
	Begun      bool      // a part of the answer was read
	EndedAt    time.Time // when its connection ended without a whole answer
	EndError   string
}

// NewRequest returns a request for an object.
func NewRequest(class, object string, wait time.Duration) *Request {
	return &Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: class, Object: object, Wait: wait, Group: 17}
}

// ObjectKey returns the key of the n-th object, 16 hex digits.
func ObjectKey(n int) string { return fmt.Sprintf("%016x", uint64(n+1)*0x9e3779b97f4a7c15) }

// Conn is a client's connection.
type Conn struct {
	conn   net.Conn
	record *Record
	name   string
	rate   int // bytes read a second at the most; 0: no limit

	mu       sync.Mutex
	open     map[uint16]*Request
	nextID   uint16
	read     int64
	lastUsed time.Time
	ended    bool
	done     chan struct{}
}

// Dial connects to a proxy. The client reads at most rate bytes a second; 0: no limit.
func Dial(name, addr string, rate int, record *Record) (*Conn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Conn{conn: conn, record: record, name: name, rate: rate, open: map[uint16]*Request{}, lastUsed: time.Now(),
		done: make(chan struct{})}
	record.Logf(name, "connected, reads at most %d bytes a second (0: no limit)", rate)
	go c.readAnswers()
	return c, nil
}

// OpenRequests returns how many requests have no whole answer yet.
func (c *Conn) OpenRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// BytesRead returns how many bytes the client has read.
func (c *Conn) BytesRead() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// IdleFor returns how long the connection has had no open request; 0 if one is open.
func (c *Conn) IdleFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 {
		return 0
	}
	return time.Since(c.lastUsed)
}

// Ended reports whether the client has read the end of the connection.
func (c *Conn) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// PeerHasClosed reports whether the proxy's close has reached this machine's TCP, read by the client or not.
func (c *Conn) PeerHasClosed() bool {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(0)
	const established = 1
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state != established
}

// Close closes the connection.
func (c *Conn) Close() {
	c.record.Logf(c.name, "closes its connection")
	_ = c.conn.Close()
	<-c.done
}

// Send writes a request. The client has at most MaxOpen requests open.
func (c *Conn) Send(r *Request) error {
	c.mu.Lock()
	if len(c.open) >= MaxOpen || c.ended {
		c.mu.Unlock()
		return fmt.Errorf("%d requests open, ended %v", len(c.open), c.ended)
	}
	for c.nextID++; c.nextID == 0 || c.open[c.nextID] != nil; c.nextID++ {
		continue
	}
	id := c.nextID
	c.open[id] = r
	c.mu.Unlock()
	_, err := c.conn.Write(r.encode(id))
	c.mu.Lock()
	r.SentAt = time.Now()
	c.lastUsed = r.SentAt
	c.mu.Unlock()
	c.record.Logf(c.name, "sent %s %s k=%s as request %d (%v)", r.ID, r.Class, r.Object, id, err)
	return err
}

func (r *Request) encode(id uint16) []byte {
	var params []byte
	for _, p := range [][2]string{
		{"SCRIPT_NAME", "/ops/" + r.Class}, {"HTTP_REQ_ID", r.ID}, {"HTTP_REQ_KEY", r.Object},
		{"HTTP_REQ_WAIT_MS", fmt.Sprint(r.Wait.Milliseconds())}, {"HTTP_X_PIECE", "0"},
		{"HTTP_X_LOT", fmt.Sprint(r.Group)},
	} {
		params = append(params, byte(len(p[0])), byte(len(p[1])))
		params = append(append(params, p[0]...), p[1]...)
	}
	const beginKeepConn = "\x00\x01\x01\x00\x00\x00\x00\x00"
	out := encodeRecord(recordBegin, id, beginKeepConn)
	out = append(out, encodeRecord(recordParams, id, string(params))...)
	out = append(out, encodeRecord(recordParams, id, "")...)
	if r.Class == "registro" {
		out = append(out, encodeRecord(recordStdin, id, strings.Repeat("w", 2000))...)
	}
	return append(out, encodeRecord(recordStdin, id, "")...)
}

func encodeRecord(recordType byte, id uint16, content string) []byte {
	out := []byte{1, recordType}
	out = binary.BigEndian.AppendUint16(out, id)
	out = binary.BigEndian.AppendUint16(out, uint16(len(content)))
	return append(append(out, 0, 0), content...)
}

// pacedReader reads at most rate bytes a second.
type pacedReader struct {
	conn  *Conn
	start time.Time // of the present series of reads
	bytes int64
}

func (p *pacedReader) Read(buffer []byte) (int, error) {
	if p.conn.rate == 0 {
		n, err := p.conn.conn.Read(buffer)
		p.conn.addRead(n)
		return n, err
	}
	if due := time.Duration(float64(p.bytes) / float64(p.conn.rate) * float64(time.Second)); time.Since(p.start) > due+50*time.Millisecond {
		p.start, p.bytes = time.Now(), 0 // the connection was quiet: nothing is saved up
	} else {
		time.Sleep(time.Until(p.start.Add(due)))
	}
	n, err := p.conn.conn.Read(buffer[:min(len(buffer), 16<<10)])
	p.bytes += int64(n)
	p.conn.addRead(n)
	return n, err
}

func (c *Conn) addRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += int64(n)
}

func (c *Conn) readAnswers() {
	defer close(c.done)
	in := &pacedReader{conn: c, start: time.Now()}
	outputs := map[uint16][]byte{}
	for {
		var header [8]byte
		_, err := io.ReadFull(in, header[:])
		content := make([]byte, int(binary.BigEndian.Uint16(header[4:]))+int(header[6]))
		if err == nil {
			_, err = io.ReadFull(in, content)
		}
		if err != nil {
			c.end(err)
			return
		}
		content = content[:len(content)-int(header[6])]
		id := binary.BigEndian.Uint16(header[2:])
		switch header[1] {
		case recordStdout:
			outputs[id] = append(outputs[id], content...)
			c.begin(id)
		case recordEnd:
			c.finish(id, outputs[id], content)
			delete(outputs, id)
		}
	}
}

func (c *Conn) begin(id uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.open[id]; r != nil {
		r.Begun = true
	}
}

func (c *Conn) finish(id uint16, output, end []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.open[id]
	if r == nil {
		c.record.Logf(c.name, "read an END_REQUEST for %d, which is not open", id)
		return
	}
	delete(c.open, id)
	head, body, _ := strings.Cut(string(output), "\r\n\r\n")
	r.Status, _, _ = strings.Cut(strings.TrimPrefix(head, "Status: "), "\r\n")
	if len(end) > 4 && end[4] == 2 {
		r.Status = "OVERLOADED"
	}
	r.Body = []byte(body)
	r.Answers++
	r.AnsweredAt = time.Now()
	c.lastUsed = r.AnsweredAt
	c.record.Logf(c.name, "read the answer to %s: %q, %d bytes, %.3f s after it was sent", r.ID, head, len(body),
		r.AnsweredAt.Sub(r.SentAt).Seconds())
}

func (c *Conn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.record.Logf(c.name, "read the end of its connection (%v), %d requests open", err, len(c.open))
	for _, r := range c.open {
		r.EndedAt = time.Now()
		r.EndError = err.Error()
		c.record.Logf(c.name, "no whole answer to %s, sent %.3f s before", r.ID, r.EndedAt.Sub(r.SentAt).Seconds())
	}
}
