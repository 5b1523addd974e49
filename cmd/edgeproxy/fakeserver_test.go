package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
)

// receivedCall is a command that a fake server has read.
type receivedCall struct {
	conn   net.Conn
	args   []string          // the command and its arguments
	fields map[string]string // values by name, decoded from the second argument of REQ
}

// answer writes an answer to the call. The fields are NAME=VALUE pairs separated by commas, or "-" for none.
func (c *receivedCall) answer(status, fields, body string) {
	text := fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
		len(c.args[1]), c.args[1], len(status), status, len(fields), fields, len(body), body)
	io.WriteString(c.conn, text) //nolint:errcheck // the program may have closed the connection
}

// fakeServer is a cache, a parent or the origin whose answers a test determines.
type fakeServer struct {
	net.Listener
	calls chan *receivedCall // each REQ
	stops chan *receivedCall // each STOP
}

// newFakeServer starts a server that reads calls and answers none by itself.
func newFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	s := &fakeServer{listen(t), make(chan *receivedCall, 1000), make(chan *receivedCall, 1000)}
	go serveEach(s, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			args, err := readCommand(in)
			if err != nil {
				return
			}
			c := &receivedCall{conn: conn, args: args, fields: map[string]string{}}
			if args[0] == "STOP" {
				s.stops <- c
				continue
			}
			for _, f := range strings.Split(args[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				c.fields[name] = value
			}
			s.calls <- c
		}
	})
	return s
}

// answerAll answers every call with the same answer from now on.
func (s *fakeServer) answerAll(status, fields, body string) {
	go func() {
		for c := range s.calls {
			c.answer(status, fields, body)
		}
	}()
}

// listen opens a listener and closes it at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", loopbackAddr(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOnce(t, l) })
	return l
}

// loopbackAddr returns the address, with port 0, of a loopback host that only this process uses. 127.0.0.1 would not
// do: an outgoing connection could take a chosen port as its local port before the program, or a restarted
// coordinator, listens on it.
func loopbackAddr(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8&0x7f, pid&0xff, host)
}

// handedOutAddrs holds the addresses that freeAddr has returned.
var handedOutAddrs sync.Map

// freeAddr returns an address for the program to listen on. It returns no address twice.
func freeAddr(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", loopbackAddr(2))
		if err != nil {
			t.Fatal(err)
		}
		closeOnce(t, l)
		_, taken := handedOutAddrs.LoadOrStore(l.Addr().String(), true)
		if !taken {
			return l.Addr().String()
		}
	}
}

// serveEach serves each connection of a listener in a goroutine of its own.
func serveEach(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// readCommand reads a RESP array of bulk strings.
func readCommand(in *bufio.Reader) (args []string, err error) {
	var n, size int
	if _, err := fmt.Fscanf(in, "*%d\r\n", &n); err != nil {
		return nil, err
	}
	for range n {
		if _, err := fmt.Fscanf(in, "$%d\r\n", &size); err != nil {
			return nil, err
		}
		arg := make([]byte, size+2)
		if _, err := io.ReadFull(in, arg); err != nil {
			return nil, err
		}
		args = append(args, string(arg[:size]))
	}
	return args, nil
}
