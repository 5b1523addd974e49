package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Call is one REQ that a server has read whole.
type Call struct {
	At     time.Time // when its first byte was read
	Server string
	ID     string
	Fields map[string]string
}

// World holds all servers. They share it only to play fills.
type World struct {
	Record   *Record
	BodySize func(class, object string) int
	// Sending returns how long a server takes to send an answer of so many bytes.
	Sending func(bytes int) time.Duration

	mu      sync.Mutex
	calls   []Call
	servers map[string]*Server
}

// NewWorld returns a world without servers, with bodies of a size and answers at the rate of one transfer.
func NewWorld(record *Record, bodySize func(class, object string) int) *World {
	return &World{Record: record, BodySize: bodySize, servers: map[string]*Server{},
		Sending: func(bytes int) time.Duration {
			return time.Duration(float64(bytes) / FlowBytesPerSecond * float64(time.Second))
		}}
}

// Calls returns all calls so far.
func (w *World) Calls() []Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Call{}, w.calls...)
}

// Server is a pop cache, a parent or the origin. It keeps every copy that it has filled.
type Server struct {
	ID, Addr, Zone, Kind string
	Weight               float64

	world    *World
	listener net.Listener
	mu       sync.Mutex
	made     map[string]int64 // by class, object and part: when the origin gave out the copy, Unix milliseconds
	stopped  map[string]bool  // by connection and id
}

// StartServer starts a server.
func (w *World) StartServer(id, zone, kind string, weight float64) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: listener.Addr().String(), Zone: zone, Kind: kind, Weight: weight, world: w,
		listener: listener, made: map[string]int64{}, stopped: map[string]bool{}}
	w.mu.Lock()
	w.servers[id] = s
	w.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var outMu sync.Mutex
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		args, err := readCommand(in)
		if err != nil {
			return
		}
		if args[0] == "STOP" && len(args) == 2 {
			s.mu.Lock()
			s.stopped[conn.RemoteAddr().String()+args[1]] = true
			s.mu.Unlock()
			continue
		}
		if args[0] != "REQ" || len(args) != 4 {
			return
		}
		call := Call{At: at, Server: s.ID, ID: args[1], Fields: map[string]string{}}
		for _, field := range strings.Split(args[2], ",") {
			name, value, _ := strings.Cut(field, "=")
			call.Fields[name] = value
		}
		s.world.mu.Lock()
		s.world.calls = append(s.world.calls, call)
		s.world.mu.Unlock()
		s.world.Record.Logf(s.ID, "read REQ %s %s", args[1], args[2])
		go s.answer(conn, &outMu, call)
	}
}

// answer answers a call after the time that its sending takes, unless it was stopped meanwhile.
func (s *Server) answer(conn net.Conn, outMu *sync.Mutex, call Call) {
	class, object := call.Fields["c"], call.Fields["k"]
	key := class + "/" + object + "/" + call.Fields["p"]
	word, note := "served", "TCP_HIT"
	made, held := s.find(key, call.Fields)
	if !held {
		made, word, note = s.fill(key, call.Fields)
	}
	var body []byte
	fields := "-"
	if word == "served" {
		body = Body(class, object, made, s.world.BodySize(class, object))
		fields = fmt.Sprintf("etag=%s,made=%d,note=%s,ttfb=1", Tag(class, object, made), made, note)
		time.Sleep(s.world.Sending(len(body)))
	}
	s.mu.Lock()
	stopped := s.stopped[conn.RemoteAddr().String()+call.ID]
	s.mu.Unlock()
	if stopped {
		return
	}
	outMu.Lock()
	defer outMu.Unlock()
	_, err := conn.Write(encodeBulks(call.ID, word, fields, string(body)))
	s.world.Record.Logf(s.ID, "answered %s: %s %s, %d bytes (%v)", call.ID, word, fields, len(body), err)
}

// find returns when a copy that will do was given out, as far as this server holds one.
func (s *Server) find(key string, fields map[string]string) (made int64, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Kind == KindOrigin {
		return time.Now().UnixMilli(), true
	}
	made, held = s.made[key]
	limit, _ := strconv.ParseInt(fields["maxage"], 10, 64)
	if limit == 0 && fields["c"] == "fichas" {
		limit = 12000
	}
	return made, held && (limit == 0 || time.Now().UnixMilli()-made <= limit)
}

// fill gets a copy from the source that a call names, and keeps it.
func (s *Server) fill(key string, fields map[string]string) (made int64, word, note string) {
	s.world.mu.Lock()
	source := s.world.servers[fields["src"]]
	s.world.mu.Unlock()
	if source == nil || source == s {
		return 0, "not_here", ""
	}
	note = "TCP_MISS"
	made, held := source.find(key, fields)
	if !held {
		if strings.Contains(fields["flags"], "shallow") || source.Kind == KindCache {
			return 0, "not_here", ""
		}
		note = "TCP_MISS_ROOT"
		made = time.Now().UnixMilli()
		source.keep(key, made)
	}
	if fields["keep"] != "" {
		s.keep(key, made)
	}
	return made, "served", note
}

func (s *Server) keep(key string, made int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made[key] = made
}

// Tag is the tag of a copy.
func Tag(class, object string, made int64) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%s/%d", class, object, made)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Body returns the bytes of an object as the origin gave them out at a time, in Unix milliseconds.
func Body(class, object string, made int64, size int) []byte {
	unit := fmt.Appendf(nil, "%d %s/%s. ", made, class, object)
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

// MadeOf returns when the origin gave out a body, in Unix milliseconds; 0 if the body does not say.
func MadeOf(body []byte) int64 {
	text, _, _ := bytes.Cut(body, []byte{' '})
	made, _ := strconv.ParseInt(string(text), 10, 64)
	return made
}

// Purge makes all servers drop their copies from before a time, in Unix milliseconds, after a while.
func (w *World) Purge(before int64, after time.Duration) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, s := range w.servers {
			s.mu.Lock()
			for key, made := range s.made {
				if made < before {
					delete(s.made, key)
				}
			}
			s.mu.Unlock()
		}
		w.Record.Logf("servers", "have dropped all copies from before %d", before)
	})
}

func encodeBulks(values ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(values))
	for _, value := range values {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(value), value)
	}
	return out
}

func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil || count < 1 || count > 8 {
		return nil, fmt.Errorf("array of %d: %w", count, err)
	}
	args := make([]string, count)
	for i := range args {
		size, err := readLength(in, '$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, fmt.Errorf("bulk of %d: %w", size, err)
		}
		bulk := make([]byte, size+2)
		if _, err := io.ReadFull(in, bulk); err != nil {
			return nil, err
		}
		args[i] = string(bulk[:size])
	}
	return args, nil
}

func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("line starts with %q", line[0])
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
