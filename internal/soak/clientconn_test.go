package soak

import (
	"testing"
	"time"
)

// TestRequestRacesIdleClose checks that the soak test does not blame a proxy for a request that raced with the close of
// an idle connection, and does not excuse the loss of any other request.
func TestRequestRacesIdleClose(t *testing.T) {
	const closedAt = 10 * time.Second
	for _, c := range []struct {
		name              string
		openedAt          time.Duration
		sentAt            time.Duration
		firstOnConnection bool
		want              bool
	}{
		{"on a used connection", time.Second, closedAt - 20*time.Millisecond, false, true},
		{"sent long before the close", time.Second, closedAt - 100*time.Millisecond, false, false},
		{"first on a connection that was unused for long", closedAt - 600*time.Millisecond, closedAt - 20*time.Millisecond, true, true},
		{"first on a fresh connection", closedAt - 400*time.Millisecond, closedAt - 20*time.Millisecond, true, false},
		{"not sent in full", time.Second, 0, false, false},
	} {
		conn := &clientConn{openedAt: c.openedAt}
		req := &Request{SentAt: c.sentAt, FirstOnConnection: c.firstOnConnection}
		if got := conn.mayRaceIdleClose(req, closedAt); got != c.want {
			t.Errorf("%s: may race with the close: %v, want the opposite", c.name, got)
		}
	}
}
