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

const (
	// lateReadsAfterHang is the time after a hang in which a server may still read calls that were sent during the
	// hang.
	lateReadsAfterHang = 300 * time.Millisecond
	// maxPurgeDelay is the maximum time between a purge and a server's drop of the purged copies.
	maxPurgeDelay = 5 * time.Second
	// hangPollInterval is the interval at which a hung server checks whether the hang is over.
	hangPollInterval = time.Millisecond
	// serverRNGStream selects the PCG stream of a server's seed from which the server draws.
	serverRNGStream = 7
)

// server is a stand-in for a cache, the parent or the origin. It caches objects, drops purged copies some time after
// the purge, and records the calls that it reads.
type server struct {
	history        *History
	id, kind, zone string
	serials        *sequence
	relayAddr      string     // address of the relay in front of it; empty: proxies connect to addr
	faultMu        sync.Mutex // held while a fault lasts that withdraws or restarts the server

	mu            sync.Mutex // guards the fields below
	addr          string
	rng           *rand.Rand
	listener      net.Listener
	conns         map[net.Conn]bool
	copies        map[string]time.Time // by object: when the origin produced the copy
	hungUntil     time.Duration        // reads and writes nothing until then
	slowUntil     time.Duration
	malformUntil  time.Duration // may malform its answers
	overloadUntil time.Duration // may reject calls
	restartedAt   time.Time     // zero: not restarted during the run
	state         string        // state in the endpoint list
}

// sequence returns consecutive numbers, starting from 1.
type sequence struct {
	mu         sync.Mutex
	lastNumber int
}

func (s *sequence) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	return s.lastNumber
}

// newServer starts a server at an address.
func newServer(history *History, id, kind, zone, addr string, seed uint64, serials *sequence) (*server, error) {
	s := &server{
		history: history, id: id, kind: kind, zone: zone, addr: addr,
		rng: rand.New(rand.NewPCG(seed, serverRNGStream)), serials: serials,
		conns: map[net.Conn]bool{}, copies: map[string]time.Time{}, state: "SERVING",
	}
	return s, s.listen()
}

// listen opens the server's address and accepts connections until the listener is closed.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = listener
	s.addr = listener.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
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

// crash resets all connections, stops listening and drops all copies.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close() //nolint:errcheck // it is not used any more
	for conn := range s.conns {
		resetConn(conn)
	}
	s.conns = map[net.Conn]bool{}
	s.copies = map[string]time.Time{}
}

// restart listens again after a crash.
func (s *server) restart() error {
	err := s.listen()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartedAt = time.Now()
	return err
}

// resetConns resets a random fraction of the connections.
func (s *server) resetConns(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if s.rng.Float64() < fraction {
			resetConn(conn)
			delete(s.conns, conn)
		}
	}
}

// resetConn closes a TCP connection with RST.
func resetConn(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the proxy may have closed it
	conn.Close()                     //nolint:errcheck // as above
}

// extendFault moves the end of a fault to newEnd, if that is later than the present end. until points to the field that
// holds the end, such as hungUntil.
func (s *server) extendFault(until *time.Duration, newEnd time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*until = max(*until, newEnd)
}

// faultActive reports whether a fault is active now. until points to the field that holds the fault's end.
func (s *server) faultActive(until *time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Now() < *until
}

// waitWhileHung blocks while the server hangs.
func (s *server) waitWhileHung() {
	for s.faultActive(&s.hungUntil) {
		time.Sleep(hangPollInterval)
	}
}

// readsLate reports whether what the server reads now may have been sent during a hang.
func (s *server) readsLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Now() < s.hungUntil+lateReadsAfterHang
}

// draw returns a random number from [0, 1).
func (s *server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// purge drops matching copies made before madeBefore, after a random delay.
func (s *server) purge(matches func(object string) bool, madeBefore time.Time) {
	delay := time.Duration(s.draw() * float64(maxPurgeDelay))
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for object, madeAt := range s.copies {
			if matches(object) && madeAt.Before(madeBefore) {
				delete(s.copies, object)
			}
		}
	})
}

// serve reads the commands of one connection, and records and answers the calls.
func (s *server) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the proxy may have closed it
	in := bufio.NewReader(conn)
	out := &lockedWriter{conn: conn}
	for {
		s.waitWhileHung()
		if _, err := in.Peek(1); err != nil {
			return
		}
		s.waitWhileHung()
		readLate := s.readsLate()
		firstByteAt := s.history.Now() - timeSinceArrival(conn)
		args, err := readCommand(in)
		if err != nil {
			return
		}
		if args[0] != "REQ" || len(args) != 4 {
			continue // a STOP is ignored, because it and the answer may cross on the way in any case
		}
		call := s.recordCall(args, firstByteAt, readLate)
		go s.answer(call, out)
	}
}

// timeSinceArrival returns how long ago the last bytes of a connection arrived at this machine, which may be long
// before they are read. It returns 0 if that is unknown.
func timeSinceArrival(conn net.Conn) (elapsed time.Duration) {
	rawConn, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	rawConn.Control(func(fd uintptr) { //nolint:errcheck // the connection has ended: elapsed stays 0
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			elapsed = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return elapsed
}

// setState sets the server's state in the endpoint list. It returns the new entry, and when the server was
// restarted.
func (s *server) setState(state string) (endpointEntry string, restartedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return s.endpointEntry(), s.restartedAt
}

// endpointEntry returns the server's entry in the endpoint list. The caller holds mu, or the server is not shared
// yet.
func (s *server) endpointEntry() string {
	startedMS := int64(0)
	if !s.restartedAt.IsZero() {
		startedMS = s.restartedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":%q,"weight":%v,"started_ms":%d}`,
		s.id, s.advertisedAddr(), s.zone, s.kind, s.state, cacheWeight, startedMS)
}

// advertisedAddr returns the address at which proxies reach the server.
func (s *server) advertisedAddr() string {
	if s.relayAddr != "" {
		return s.relayAddr
	}
	return s.addr
}
