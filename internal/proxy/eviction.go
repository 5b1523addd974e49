package proxy

import (
	"time"

	"cloverdoor/policy"
)

// hasCapacity says whether one more client may connect. When they hold all descriptors that they may, the one that is
// missed least has to go: one that has said nothing yet for a while, else the one longest idle, as a request
// that crosses the close is sent again. Otherwise clients that connect and say nothing, or ask once and
// stay, would keep out all others.
func (f *FastCGIServer) hasCapacity() bool {
	if len(f.conns) < f.maxConns {
		return true
	}
	var spare *clientConn
	unread := map[*clientConn]bool{}
	for {
		for c := range f.conns {
			if !unread[c] && c.evictable() && (spare == nil || c.evictBefore(spare)) {
				spare = c
			}
		}
		if spare == nil {
			return false
		}
		if f.mayClose(policy.CloseInfo{OpenRequests: len(spare.openRequests), HasUnreadInput: spare.conn.HasUnreadInput}) {
			break
		}
		unread[spare], spare = true, nil
	}
	f.p.log.Info("client's connection closed to make room", "connection", spare.number, "idle", spare.idleTime())
	spare.conn.Close()
	spare.Closed(nil)
	return true
}

// evictable says whether a connection may be closed to make room for another.
func (c *clientConn) evictable() bool {
	bytes, _ := c.conn.QueuedOutput()
	if len(c.openRequests) > 0 || bytes > 0 || c.conn.Ended() {
		return false // looked at here as well, as all connections are asked: what is left is decided by policy.MayClose
	}
	return c.idleTime() > [...]time.Duration{evictSilentAfter, evictIdleAfter, evictPartialAfter}[c.evictionRank()]
}

// evictBefore compares evictable connections: those that have said nothing go first, those in the middle of a request last.
func (c *clientConn) evictBefore(other *clientConn) bool {
	if a, b := c.evictionRank(), other.evictionRank(); a != b {
		return a < b
	}
	return c.idleTime() > other.idleTime()
}

func (c *clientConn) evictionRank() int {
	switch {
	case c.hasPartialRequest():
		return 2
	case c.completeRequests > 0:
		return 1
	}
	return 0
}
