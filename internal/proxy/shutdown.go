package proxy

// This file performs a graceful shutdown, with the timing of lifecycle.go.

import (
	"os"
	"slices"
)

// advancePhase starts a shutdown when stop delivers a signal, and ends it when idle clients are being disconnected
// and no client connection or unanswered request is left, or when the process must exit.
func (p *Proxy) advancePhase(stop <-chan os.Signal) {
	select {
	case <-stop:
		if p.lifecycle.phase < Stopping {
			p.beginShutdown()
		}
	default:
	}
	if p.lifecycle.phase != Stopping || !p.lifecycle.disconnecting() {
		return
	}
	if p.lifecycle.mustExit() {
		p.cutOffClients()
	} else if p.hasOpenWork() {
		return
	}
	p.lifecycle.setPhase(Stopped, p.openRequests)
}

// cutOffClients closes the connections of clients that have yet to read answers when the process must exit. What is in
// the system's buffers is still sent to them.
func (p *Proxy) cutOffClients() {
	for _, f := range p.fastcgiServers {
		for c := range f.conns {
			if undeliveredBytes, _ := c.conn.UndeliveredOutput(); undeliveredBytes > 0 {
				p.log.Warn("client connection cut off at the exit", "connection", c.number,
					"undelivered_bytes", undeliveredBytes, "queued_bytes", c.conn.QueuedBytes(), "requests", c.openRequestIDs())
			}
			c.conn.CloseAfterReading()
		}
	}
}

// beginShutdown begins a graceful shutdown. It shortens the deadlines of open requests to the time that the platform
// leaves to the process, because a request that is unanswered when the process is killed is lost.
func (p *Proxy) beginShutdown() {
	p.lifecycle.beginShutdown(p.config.MaxDeadline, p.allSocketsShared(), p.openRequests)
	for _, q := range p.requests {
		p.shortenDeadline(q, p.lifecycle.closeBy)
	}
}

// allSocketsShared reports whether all listening sockets are shared, so that another process may accept clients on
// them.
func (p *Proxy) allSocketsShared() bool {
	return !slices.ContainsFunc(p.fastcgiServers, func(f *FastCGIServer) bool { return !f.sharedSocket })
}

// hasOpenWork reports whether a client connection is open or waiting to be accepted, or a request is unanswered.
func (p *Proxy) hasOpenWork() bool {
	for _, f := range p.fastcgiServers {
		if !f.Idle() {
			return true
		}
	}
	for _, q := range p.requests {
		if !q.finished {
			return true
		}
	}
	return false
}
