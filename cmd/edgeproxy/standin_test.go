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

// receivedCall is a command that a server has read.
type receivedCall struct {
	conn   net.Conn
	words  []string          // of the command
	fields map[string]string // of a REQ
}

// answer writes an answer to the call.
func (c *receivedCall) answer(word, fields, body string) {
	text := fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
		len(c.words[1]), c.words[1], len(word), word, len(fields), fields, len(body), body)
	io.WriteString(c.conn, text) //nolint:errcheck // the program may have closed the connection
}

// fakeServer stands in for a cache, a parent or the origin.
type fakeServer struct {
	net.Listener
	calls chan *receivedCall // REQ
	stops chan *receivedCall // STOP
}

// newFakeServer starts a server that answers nothing by itself.
func newFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	s := &fakeServer{listen(t), make(chan *receivedCall, 1000), make(chan *receivedCall, 1000)}
	go serveEach(s, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			words, err := readCommand(in)
			if err != nil {
				return
			}
			c := &receivedCall{conn: conn, words: words, fields: map[string]string{}}
			if words[0] == "STOP" {
				s.stops <- c
				continue
			}
			for _, f := range strings.Split(words[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				c.fields[name] = value
			}
			s.calls <- c
		}
	})
	return s
}

// answerAll answers every call in the same way from now on.
func (s *fakeServer) answerAll(word, fields, body string) {
	go func() {
		for c := range s.calls {
			c.answer(word, fields, body)
		}
	}()
}

// listen opens a listener until the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", loopbackAddr(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOnce(t, l) })
	return l
}

// loopbackAddr is a host on loopbackAddr that this process alone uses, with port 0. Ports of 127.0.0.1 are no use: an
// outgoing connection may take one that a test has chosen before the program, or a coordinator that returns,
// listens on it.
func loopbackAddr(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8&0x7f, pid&0xff, host)
}

// handedOutAddrs are the addresses that freeAddr has returned.
var handedOutAddrs sync.Map

// freeAddr returns an address for the program to listen on, and no address twice.
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
func readCommand(in *bufio.Reader) (words []string, err error) {
	var n, size int
	if _, err := fmt.Fscanf(in, "*%d\r\n", &n); err != nil {
		return nil, err
	}
	for range n {
		if _, err := fmt.Fscanf(in, "$%d\r\n", &size); err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}
