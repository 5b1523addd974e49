package proxy

// This file performs a graceful shutdown, with the timing of lifecycle.go.

import (
	"os"
	"slices"
)

// advancePhase starts a shutdown when stop delivers a signal, and ends it when idle clients are being disconnected
// and no client connection or unanswered request is left.
func (p *Proxy) advancePhase(stop <-chan os.Signal) {
	select {
	case <-stop:
		if p.lifecycle.phase < Stopping {
			p.beginShutdown()
		}
	default:
	}
	if p.lifecycle.phase == Stopping && p.lifecycle.disconnecting() && !p.hasOpenWork() {
		p.lifecycle.setPhase(Stopped, p.openRequests)
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
