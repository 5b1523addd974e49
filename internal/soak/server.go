package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	bodySize           = 10 << 10 // bytes of an object
	maxBulk            = 1 << 20  // of a command
	fillTime           = 8 * time.Millisecond
	answerTime         = 25 * time.Millisecond  // at the most, while all is well
	lateReadsAfterHang = 300 * time.Millisecond // within which a server has read what came while it hung
	maxPurgeDelay      = 5 * time.Second        // within which a server drops copies that a purge made void
)

// server stands in for a cache, a parent or the origin: it keeps copies, drops them some time after a purge, and records what it
// is asked.
type server struct {
	h              *History
	id, kind, zone string
	addr           string
	mu             sync.Mutex
	rng            *rand.Rand
	listener       net.Listener
	conns          map[net.Conn]bool
	copies         map[string]time.Time // when the origin gave each out, by object
	serial         *sequence
	hungUntil      time.Duration
	slowUntil      time.Duration
	malformUntil   time.Duration
	overloadUntil  time.Duration
	started        time.Time  // of a late start
	state          string     // as the list tells
	relayAddr      string     // where proxies find it, if that is elsewhere
	faultMu        sync.Mutex // held by the trouble that it is in
}

// sequence gives out numbers.
type sequence struct {
	mu sync.Mutex
	n  int
}

func (c *sequence) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

func newServer(h *History, id, kind, zone, addr string, seed uint64, serial *sequence) (*server, error) {
	s := &server{h: h, id: id, kind: kind, zone: zone, addr: addr, rng: rand.New(rand.NewPCG(seed, 7)), serial: serial,
		conns: map[net.Conn]bool{}, copies: map[string]time.Time{}, state: "SERVING"}
	return s, s.listen()
}

func (s *server) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.addr = ln, ln.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// crash resets all connections and refuses new ones; what the server kept is lost.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close() //nolint:errcheck // it listens no more in any case
	for conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it may have ended
		conn.Close()                     //nolint:errcheck // as above
	}
	s.conns, s.copies = map[net.Conn]bool{}, map[string]time.Time{}
}

// resetConns ends some connections, whatever is open on them.
func (s *server) resetConns(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if s.rng.Float64() < share {
			conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it may have ended
			conn.Close()                     //nolint:errcheck // as above
			delete(s.conns, conn)
		}
	}
}

// setUntil sets one of the times up to which the server behaves badly.
func (s *server) setUntil(field *time.Duration, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*field = max(*field, at)
}

func (s *server) isBefore(field *time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.Now() < *field
}

// draw returns a random number.
func (s *server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// purge drops copies made before a moment, some time later.
func (s *server) purge(matches func(object string) bool, moment time.Time) {
	time.AfterFunc(time.Duration(s.draw()*float64(maxPurgeDelay)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for object, made := range s.copies {
			if matches(object) && made.Before(moment) {
				delete(s.copies, object)
			}
		}
	})
}

// sinceArrival is how long ago the last bytes of a connection came to this machine: they may have been read late.
func sinceArrival(conn net.Conn) (ago time.Duration) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { //nolint:errcheck // it stays 0
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// readsLate says that the server did not read until just now: what it reads may have been sent before.
func (s *server) readsLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.Now() < s.hungUntil+lateReadsAfterHang
}

// waitWhileHung returns when the server reads on, and says whether it had to wait.
func (s *server) waitWhileHung() (waited bool) {
	for s.isBefore(&s.hungUntil) {
		waited = true
		time.Sleep(time.Millisecond)
	}
	return waited
}

// serve reads the commands of one connection.
func (s *server) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the proxy may have closed it
	in, out := bufio.NewReader(conn), &output{conn: conn}
	for {
		s.waitWhileHung()
		if _, err := in.Peek(1); err != nil {
			return
		}
		s.waitWhileHung()
		held := s.readsLate()
		first := s.h.Now() - sinceArrival(conn)
		words, err := command(in)
		if err != nil {
			return
		}
		if words[0] != "REQ" || len(words) != 4 {
			continue // STOP: what it stops is answered all the same, which crosses it
		}
		c := s.record(words, first, held)
		go s.answer(c, out)
	}
}

// record takes note of a call.
func (s *server) record(words []string, first time.Duration, held bool) *Call {
	c := &Call{Server: s.id, ID: words[1], FirstByteAt: first, CompleteAt: s.h.Now(), ReadLate: held, Serial: s.serial.next()}
	for _, field := range strings.Split(words[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		millis, _ := strconv.Atoi(value)
		switch name {
		case "c":
			c.Class = value
		case "k":
			c.Object = value
		case "src":
			c.Source = value
		case "w":
			c.Timeout = time.Duration(millis) * time.Millisecond
		case "maxage":
			c.MaxAge = time.Duration(millis) * time.Millisecond
		}
	}
	s.h.locked(func() { s.h.Calls = append(s.h.Calls, c) })
	s.h.Note(s.id, "call %s %s k=%s src=%s w=%v maxage=%v held=%v serial=%d", c.ID, c.Class, c.Object, c.Source, c.Timeout, c.MaxAge, held, c.Serial)
	return c
}

// answer answers one call.
func (s *server) answer(c *Call, out *output) {
	if s.isBefore(&s.overloadUntil) && s.draw() < 0.5 {
		s.writeAnswer(c, out, "overload", "-", "")
		return
	}
	if c.Class == classWrite {
		s.write(c, out)
		return
	}
	s.wait(answerTime)
	made, note, held := s.copyFor(c)
	if !held {
		s.writeAnswer(c, out, "not_here", "note=PEER_MISS", "")
		return
	}
	s.h.locked(func() { c.CopyMadeAt = made })
	body := fmt.Sprintf("%d %s ", c.Serial, c.Object)
	body += strings.Repeat("x", bodySize-len(body))
	s.writeAnswer(c, out, "served", fmt.Sprintf("etag=%016x,made=%d,note=%s,ttfb=3", made.UnixMilli(), made.UnixMilli(), note), body)
}

// write carries out what must not run twice.
func (s *server) write(c *Call, out *output) {
	if s.kind != "origin" {
		s.writeAnswer(c, out, "not_here", "-", "")
		return
	}
	s.h.locked(func() { c.Ran = true })
	s.wait(2 * answerTime)
	word := "served"
	if s.draw() < 0.02 {
		word = "crashed"
	}
	s.writeAnswer(c, out, word, "-", fmt.Sprintf("%d written", c.Serial))
}

func (s *server) wait(most time.Duration) {
	pause := time.Duration(s.draw() * float64(most))
	if s.isBefore(&s.slowUntil) {
		pause *= 20
	}
	time.Sleep(pause)
	s.waitWhileHung()
}

// copyFor finds the copy that answers a call, or fills it.
func (s *server) copyFor(c *Call) (made time.Time, note string, held bool) {
	s.mu.Lock()
	made, held = s.copies[c.Object]
	s.mu.Unlock()
	if held && (c.MaxAge == 0 || time.Since(made) <= c.MaxAge) {
		return made, "TCP_HIT", true
	}
	if c.Source == "" && s.kind != "origin" {
		return made, "", false
	}
	if s.draw() < 0.03 { // a fill that was under way, perhaps since before a purge
		return time.Now().Add(-time.Duration(s.draw() * float64(time.Second))), "TCP_JOIN", true
	}
	made = time.Now()
	time.Sleep(fillTime)
	s.mu.Lock()
	s.copies[c.Object] = made
	s.mu.Unlock()
	return made, "TCP_MISS", true
}

// writeAnswer writes an answer, whole or spoilt.
func (s *server) writeAnswer(c *Call, out *output, word, fields, body string) {
	s.waitWhileHung()
	s.h.locked(func() { c.Result = word })
	text := bulks(c.ID, word, fields, body)
	if s.isBefore(&s.malformUntil) {
		switch draw := s.draw(); {
		case draw < 0.1:
			text = []byte("?nonsense\r\n")
		case draw < 0.2:
			text = text[:len(text)/2]
			defer out.conn.Close() //nolint:errcheck // as in serve
		case draw < 0.25:
			text = text[:len(text)/2] // and the connection stays open
		case draw < 0.35:
			text = append(text, text...)
		}
	}
	out.write(text)
	s.h.Note(s.id, "answered %s %s serial=%d", c.ID, word, c.Serial)
}

// output is the writing side of a connection.
type output struct {
	mu   sync.Mutex
	conn net.Conn
}

func (o *output) write(text []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn.Write(text) //nolint:errcheck // a lost connection shows at the proxy
}

func bulks(words ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(w), w)
	}
	return out
}

// command reads one command.
func command(in *bufio.Reader) ([]string, error) {
	count, err := length(in, '*')
	if err != nil || count < 1 || count > 8 {
		return nil, fmt.Errorf("array of %d: %w", count, err)
	}
	words := make([]string, count)
	for i := range words {
		size, err := length(in, '$')
		if err != nil || size > maxBulk {
			return nil, fmt.Errorf("bulk of %d: %w", size, err)
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:size])
	}
	return words, nil
}

func length(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadBytes('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("%q in place of %q", line[0], prefix)
	}
	return strconv.Atoi(string(bytes.TrimSpace(line[1:])))
}
