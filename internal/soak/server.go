package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
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

// entry is the server's in the list.
func (s *server) entry() string {
	started := int64(0)
	if !s.started.IsZero() {
		started = s.started.UnixMilli()
	}
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":%q,"weight":%v,"started_ms":%d}`,
		s.id, s.listed(), s.zone, s.kind, s.state, float64(cacheWeight), started)
}
