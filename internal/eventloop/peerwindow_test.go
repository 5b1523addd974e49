package eventloop

import (
	"io"
	"testing"
	"time"
)

// Guards against the close of a connection whose peer has yet to read its answers and would not see the end (report 06224d):
// what the peer's system holds is seen by its receive window.
func TestUnreadByPeer(t *testing.T) {
	const chunk = 30_000
	handler := &echo{}
	ln := newTestListener(t, func() bool { return true }, func(c *Conn) Handler {
		handler.conn = c
		return handler
	})
	peer := ln.dial(t)
	runTurns(t, ln.loop, func() bool { return handler.conn != nil })
	unread := func() int {
		time.Sleep(60 * time.Millisecond) // for a delayed acknowledgment
		if err := ln.loop.Wait(0); err != nil {
			t.Fatal(err)
		}
		bytes, _ := handler.conn.UnreadByPeer()
		return bytes
	}
	if bytes := unread(); bytes > 0 {
		t.Errorf("%d bytes count as unread before any was sent", bytes)
	}
	estimate := 0
	for range 3 {
		handler.conn.Write(make([]byte, chunk))
		ln.loop.Flush()
		estimate = unread()
	}
	if estimate < chunk {
		t.Errorf("%d of %d bytes count as unread", estimate, 3*chunk)
	}
	if _, err := io.ReadFull(peer, make([]byte, 3*chunk)); err != nil {
		t.Fatal(err)
	}
	if bytes := unread(); bytes > chunk {
		t.Errorf("%d of %d bytes count as unread after the peer has read all", bytes, 3*chunk)
	}
	if _, readAt := handler.conn.UnreadByPeer(); readAt == 0 {
		t.Error("the peer was not seen to read")
	}
}

// A system that does not know the peer's window reports none.
func TestUnknownPeerWindow(t *testing.T) {
	var w peerWindow
	w.record(1, 0)
	if w.largest != 0 {
		t.Errorf("the largest window is %d, want none", w.largest)
	}
	w.record(2, 50_000)
	w.record(3, 0)
	if unread := w.unreadBytes(); unread != usualPeerWindow || w.grewAt != 0 {
		t.Errorf("%d bytes count as unread, the window grew at %v, want %d and never", unread, w.grewAt, usualPeerWindow)
	}
	w.record(4, initialPeerWindow)
	if unread := w.unreadBytes(); unread != 0 || w.grewAt != 4 {
		t.Errorf("%d bytes count as unread, the window grew at %v, want 0 and 4", unread, w.grewAt)
	}
}
