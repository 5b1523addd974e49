package proxy

import (
	"cmp"
	"os"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
)

const (
	// stopTime is how long after the order to stop clients may still come: connections for 0.4 s, requests on
	// them for 0.2 s more.
	stopTime = 700 * time.Millisecond
	// killTime is how long after the order and the longest deadline the process may be killed, and killLeft what is
	// kept of that. A deadline longer than maxDeadline counts as that.
	killTime    = 700 * time.Millisecond
	killLeft    = 200 * time.Millisecond
	maxDeadline = 3 * time.Second
	// drainTime is how long after the order to drain new clients come: the front asks every 0.1 s, and goes on for
	// 0.2 s.
	drainTime = 300 * time.Millisecond
	// drainLate is how long after it requests are taken: 2 s before an operator looks, who allows 4 s in all.
	drainLate = 1900 * time.Millisecond
	// lateTime is the same for a stop, counted back from when all must be answered.
	lateTime = 500 * time.Millisecond
)

// Phase is where the program stands between its start and its exit.
type Phase int

// The phases. Each one is followed by the next; only draining may go back to serving.
const (
	Starting Phase = iota // no list yet: nothing can be served
	Serving
	Draining // emptied by an operator's order: clients are sent away, until the order is taken back
	Stopping // asked to end: the same, and then the end
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "stopping", "stopped"}[p]
}

// Phase tells where the program stands.
func (p *Proxy) Phase() Phase { return p.phase }

// enter changes the phase.
func (p *Proxy) enter(next Phase) {
	p.log.Info("phase", "from", p.phase, "to", next, "open", p.open)
	p.phase = next
}

// advance moves to the phase that is due. Stopping ends when clients have stopped coming and all they asked
// for has been answered.
func (p *Proxy) advance(stop <-chan os.Signal) {
	select {
	case <-stop:
		if p.phase < Stopping {
			p.stop()
		}
	default:
	}
	if p.phase == Stopping && p.Leaving() && !p.hasOpenWork() {
		p.enter(Stopped)
	}
}

// stop begins the end. What is taken from now on is answered before the process may be killed, whatever its
// deadline: what a kill finds unanswered is lost.
func (p *Proxy) stop() {
	p.enter(Stopping)
	p.leaveAt = p.loop.Now() + stopTime
	if p.handsOver() {
		p.leaveAt = p.loop.Now()
	}
	p.endBy = p.loop.Now() + min(maxDeadline, cmp.Or(p.set.MaxDeadline, maxDeadline)) + killTime - killLeft
	p.lateAt = p.endBy - lateTime
	for _, q := range p.requests {
		p.shorten(q, p.endBy)
	}
}

// shorten gives a request no more time than until a deadline.
func (p *Proxy) shorten(q *request, deadline eventloop.Timestamp) {
	if q.deadline <= deadline {
		return
	}
	q.deadline = deadline
	p.loop.Stop(q.timer)
	q.timer = p.loop.At(deadline, func() { p.expire(q) })
}

// handsOver says that another process may take clients from the sockets of this one: none has to come here any more.
func (p *Proxy) handsOver() bool {
	return !slices.ContainsFunc(p.fronts, func(f *FastCGIServer) bool { return !f.shared })
}

// drain begins to send clients away.
func (p *Proxy) drain() {
	p.enter(Draining)
	p.leaveAt, p.lateAt = p.loop.Now()+drainTime, p.loop.Now()+drainLate
}

// Leaving says that clients should go: no more of them are due.
func (p *Proxy) Leaving() bool {
	return (p.phase == Draining || p.phase == Stopping) && p.loop.Now() >= p.leaveAt
}

// late says that clients have had time enough to go: what still comes is refused, so that their connections get empty
// and can be closed. Clients that always have a request open would otherwise never leave.
func (p *Proxy) late() bool { return p.Leaving() && p.loop.Now() >= p.lateAt }

// hasOpenWork says whether any client still waits for an answer, or for the rest of one.
func (p *Proxy) hasOpenWork() bool {
	for _, f := range p.fronts {
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
