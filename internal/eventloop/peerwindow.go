package eventloop

import "golang.org/x/sys/unix"

// The receive windows that peers' systems usually offer. They may not be observed before the peer has unread output.
const (
	initialPeerWindow = 64 << 10 // on a new connection
	usualPeerWindow   = 96 << 10 // once something has been sent
)

// peerWindow records the receive window that the peer's system offers. It shrinks by what the peer has not read.
type peerWindow struct {
	largest    int // the largest one observed; 0: none was
	current    int
	observedAt Timestamp // when the system was last asked
	grewAt     Timestamp // when the window was last found to have grown; 0: never
}

// UnreadByPeer estimates how many bytes of output the peer's system holds that the peer has not read, and returns the time
// at which the peer was last seen to read some of them; 0: never. The estimate is by the peer's receive window, as TCP_INFO
// gives it, and may stay above 0 by up to half of that window after the peer has read everything, as its system reports
// large changes only. The result is 0 if this host's system does not know the window. It makes at most one system call in
// a turn.
func (c *Conn) UnreadByPeer() (bytes int, readAt Timestamp) {
	if c.peer.observedAt != c.loop.now {
		c.peer.observedAt = c.loop.now
		c.observePeerWindow()
	}
	return c.peer.unreadBytes(), c.peer.grewAt
}

// unreadBytes returns by how much the window is smaller than the largest one. Where none larger than the initial one was
// observed, a smaller one counts as what remains of the usual window.
func (w *peerWindow) unreadBytes() int {
	switch {
	case w.largest == 0 || w.current >= w.largest:
		return 0
	case w.largest <= initialPeerWindow:
		return usualPeerWindow - w.current
	}
	return w.largest - w.current
}

// PeerReadAt returns readAt as of the last call of UnreadByPeer. It makes no system call.
func (c *Conn) PeerReadAt() Timestamp { return c.peer.grewAt }

// observePeerWindow asks the system for the peer's window.
func (c *Conn) observePeerWindow() {
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return
	}
	c.peer.record(c.loop.now, int(info.Snd_wnd))
}

// record records the window at a time. A window of 0 is unknown unless another one was observed before.
func (w *peerWindow) record(now Timestamp, window int) {
	if w.largest == 0 {
		if window == 0 {
			return
		}
		w.largest = max(initialPeerWindow, window)
		w.current = window
		return
	}
	if window > w.current {
		w.grewAt = now
	}
	w.current = window
	w.largest = max(w.largest, window)
}

// ObservePeer notices what the peer has acknowledged and read of output that was found to be on its way. It has to be
// called at regular intervals for UndeliveredOutput, DeliveryTime and UnreadByPeer to be exact.
func (c *Conn) ObservePeer() {
	if c.delivery.unackedBytes > 0 {
		c.UndeliveredOutput()
		c.UnreadByPeer()
	}
}
