package soak

import (
	"net"
	"os"
	"testing"
)

// TestIncarnationOf checks that the incarnation that holds the other end of a connection is found, and no other.
func TestIncarnationOf(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // not used any more
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close() //nolint:errcheck // not used any more
	p := &process{pids: map[int]int{4: os.Getppid(), 5: os.Getpid()}}
	if number := p.incarnationOf(server); number != 5 {
		t.Errorf("incarnation %d, want 5", number)
	}
	p.pids = map[int]int{4: os.Getppid()}
	if number := p.incarnationOf(server); number != 0 {
		t.Errorf("incarnation %d though none of them has the connection, want 0", number)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
}
