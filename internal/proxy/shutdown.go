package proxy

// This file carries out a graceful shutdown, by the times that lifecycle.go sets.

import (
	"os"
	"slices"
)

// advancePhase moves to the phase that is due. A shutdown ends when clients have stopped coming and every
// request has been answered.
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

// beginShutdown begins a graceful shutdown. Requests that are open get no more time than the platform leaves to
// the process: one that a kill finds unanswered is lost.
func (p *Proxy) beginShutdown() {
	p.lifecycle.beginShutdown(p.config.MaxDeadline, p.isTakenOver(), p.openRequests)
	for _, q := range p.requests {
		p.shortenDeadline(q, p.lifecycle.answerBy)
	}
}

// isTakenOver reports whether another process may accept from all listening sockets of this one.
func (p *Proxy) isTakenOver() bool {
	return !slices.ContainsFunc(p.fastcgiServers, func(f *FastCGIServer) bool { return !f.sharedSocket })
}

// hasOpenWork reports whether a client connection is open or waits to be accepted, or a request has no
// answer.
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
