package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["slow-reader"] = slowReaderCase }

const (
	slowRate      = 900_000 // bytes a second
	slowObjects   = 16
	slowSize      = 60_000
	slowAnswersAt = 2700 * time.Millisecond // after the drain's start
	slowSendUntil = 3900 * time.Millisecond
	tcpCloseWait  = 8 // the state of a connection whose peer has closed its side

	// crossing is the time around the arrival of a close within which a request may cross it: 50 ms, and a margin.
	crossing = 150 * time.Millisecond
)

// pacedReader reads at most rate bytes a second.
type pacedReader struct {
	in   io.Reader
	due  time.Time
	rate int
}

func (s *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(time.Until(s.due))
	n, err := s.in.Read(b[:min(len(b), 8<<10)])
	if now := time.Now(); s.due.Before(now) {
		s.due = now
	}
	s.due = s.due.Add(time.Duration(n) * time.Second / time.Duration(s.rate))
	return n, err
}

// slowReaderCase: in an operator's drain, a client that reads steadily below 1 MB a second must lose no request.
func slowReaderCase(r *rig) (verdict, error) {
	var began atomic.Int64 // when the drain began
	servers, err := r.office(func(c *call) {
		size := 200
		if c.fields["c"] == "artes" { // slow caches: these answers come late, and in time
			for began.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Until(time.Unix(0, began.Load()).Add(slowAnswersAt)))
			size = slowSize
		}
		c.serve(objectBytes(c.fields["k"], size), time.Now(), "TCP_HIT")
	})
	if err != nil {
		return verdict{}, err
	}
	r.coordinator.publish(list(servers...))
	p, err := r.startProxy("n1", proxyConfig{memoryMB: 192, sockets: 1024, settings: settings()})
	if err != nil {
		return verdict{}, err
	}
	c, err := dialPaced(p.addr, slowRate)
	if err != nil {
		return verdict{}, err
	}
	closed := c.watchClose()
	var asks []*ask
	send := func(class string, wait time.Duration) {
		a := newAsk(class, fmt.Sprintf("%016x", len(asks)), wait)
		c.send(a)
		asks = append(asks, a)
	}
	for range 5 {
		send("fichas", 1500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	for range slowObjects {
		send("artes", 6*time.Second)
	}
	if r.trouble {
		status, _, err := p.call("PUT", "/ops/drain/start")
		if err != nil || status != http.StatusOK {
			return verdict{}, fmt.Errorf("drain: status %d, %w", status, err)
		}
		r.logf("operator: PUT /ops/drain/start")
	}
	start := time.Now()
	began.Store(start.UnixNano())
	for time.Since(start) < slowSendUntil && !c.hasEnded() {
		send("fichas", 1500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	usual := &usualClient{r: r, p: p, asks: asks}
	if err := usual.awaitAnswers(); err != nil {
		return verdict{}, err
	}
	return judgeSlowReader(r, asks, start, time.Unix(0, closed.Load())), nil
}

// dialPaced connects a client that reads at most rate bytes a second.
func dialPaced(addr string, rate int) (*client, error) {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, open: map[uint16]*ask{}, output: map[uint16][]byte{}}
	go c.read(bufio.NewReaderSize(&pacedReader{in: conn, rate: rate}, 8<<10))
	return c, nil
}

// hasEnded reports whether the client has read the end of its connection.
func (c *client) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// watchClose notes when the proxy's close arrives at the client's system, which may be before the client reads it.
func (c *client) watchClose() *atomic.Int64 {
	var arrived atomic.Int64
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return &arrived
	}
	go func() {
		for !c.hasEnded() && arrived.Load() == 0 {
			raw.Control(func(fd uintptr) { //nolint:errcheck // the connection may have ended
				info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
				if err == nil && info.State == tcpCloseWait {
					arrived.Store(time.Now().UnixNano())
				}
			})
			time.Sleep(time.Millisecond)
		}
	}()
	return &arrived
}

// judgeSlowReader counts the requests that got no answer and did not cross the close.
func judgeSlowReader(r *rig, asks []*ask, start, closed time.Time) verdict {
	lost, crossed := 0, 0
	counts := map[string]int{}
	for _, a := range asks {
		class, after := "none", "-"
		if a.answer != nil {
			class = a.answer.class()
			after = fmt.Sprintf("%.3f s", a.answer.received.Sub(start).Seconds())
		}
		counts[class]++
		mark := ""
		if class == "none" || class == "lost" {
			if fromClose := a.sent.Sub(closed).Abs(); fromClose <= crossing {
				crossed++
				mark = " (crossed the close)"
			} else {
				lost++
				mark = " LOST"
			}
		}
		r.logf("request %s, %s, sent %.3f s after the drain's start: %s at %s%s", a.id, a.class, a.sent.Sub(start).Seconds(), class,
			after, mark)
	}
	r.logf("the close arrived at the client's system %.3f s after the drain's start", closed.Sub(start).Seconds())
	return verdict{broken: lost > 0, text: fmt.Sprintf("of %d requests of the slow reader %d were lost, %d crossed the close (answers: %v)",
		len(asks), lost, crossed, counts)}
}
