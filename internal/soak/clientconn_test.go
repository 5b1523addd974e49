package soak

import (
	"net"
	"testing"
	"time"
)

// TestRequestRacesIdleClose checks that the soak test does not blame a proxy for a request that raced with the close of
// an idle connection, and does not excuse the loss of any other request.
func TestRequestRacesIdleClose(t *testing.T) {
	const closedAt = 10 * time.Second
	received := connEnd{at: closedAt, received: true}
	unreceived := connEnd{at: closedAt}
	receivedInCrowd := connEnd{at: closedAt, received: true, crowded: true}
	unreceivedInCrowd := connEnd{at: closedAt, crowded: true}
	for _, c := range []struct {
		name              string
		openedAt          time.Duration
		sentAt            time.Duration
		firstOnConnection bool
		end               connEnd
		want              bool
	}{
		{"on a used connection", time.Second, closedAt - 20*time.Millisecond, false, received, true},
		{"sent long before the close", time.Second, closedAt - 100*time.Millisecond, false, received, false},
		{"first on a connection that was unused for long", closedAt - 600*time.Millisecond, closedAt - 20*time.Millisecond, true, received, true},
		{"first on a fresh connection", closedAt - 400*time.Millisecond, closedAt - 20*time.Millisecond, true, received, false},
		{"first on a fresh connection, not received", closedAt - 400*time.Millisecond, closedAt - 20*time.Millisecond, true, unreceived, false},
		{"first on a fresh connection in a crowd", closedAt - 400*time.Millisecond, closedAt - 20*time.Millisecond, true, receivedInCrowd, false},
		{"the same, not received", closedAt - 400*time.Millisecond, closedAt - 20*time.Millisecond, true, unreceivedInCrowd, true},
		{"the same, sent long before the close", closedAt - 400*time.Millisecond, closedAt - 100*time.Millisecond, true, unreceivedInCrowd, false},
		{"sent right after the end arrived", time.Second, closedAt + 20*time.Millisecond, false, received, true},
		{"sent long after the end arrived", time.Second, closedAt + 100*time.Millisecond, false, received, false},
		{"not sent in full", time.Second, 0, false, received, false},
	} {
		conn := &clientConn{openedAt: c.openedAt}
		req := &Request{SentAt: c.sentAt, FirstOnConnection: c.firstOnConnection}
		if got := conn.mayRaceIdleClose(req, c.end); got != c.want {
			t.Errorf("%s: may race with the close: %v, want the opposite", c.name, got)
		}
	}
}

// TestRequestIsBeingSent checks that a request whose last byte is being written when the connection ends excuses no other
// request, and is excused itself only where a request that was just sent would be.
func TestRequestIsBeingSent(t *testing.T) {
	const closedAt = 10 * time.Second
	end := connEnd{at: closedAt, received: true}
	for _, c := range []struct {
		name              string
		openedAt, sentAt  time.Duration
		firstOnConnection bool
		want              bool
	}{
		{"on a used connection", time.Second, 0, false, true},
		{"first on a fresh connection", closedAt - 400*time.Millisecond, 0, true, false},
		{"sent before", time.Second, closedAt - 100*time.Millisecond, false, false},
	} {
		conn := &clientConn{openedAt: c.openedAt}
		req := &Request{SentAt: c.sentAt, FirstOnConnection: c.firstOnConnection}
		if got := conn.isBeingSent(req, end); got != c.want {
			t.Errorf("%s: being sent: %v, want the opposite", c.name, got)
		}
	}
}

// TestReceived checks that the soak test knows whether anything that a client sent has reached the other side's system,
// also if that side has closed the connection without reading it.
func TestReceived(t *testing.T) {
	for name, closeFirst := range map[string]bool{"closed before the write": true, "closed after the write": false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		write := func() {
			client.Write([]byte("request")) //nolint:errcheck // the reads below show the end
		}
		if !closeFirst {
			write()
		}
		if err := server.Close(); err != nil {
			t.Fatal(err)
		}
		if closeFirst {
			write()
		}
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, err := client.Read(make([]byte, 1)); err != nil {
				break
			}
		}
		if got := received(client); got == closeFirst {
			t.Errorf("%s: received %v", name, got)
		}
		client.Close()   //nolint:errcheck // it has ended
		listener.Close() //nolint:errcheck // not used any more
	}
}
