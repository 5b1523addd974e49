package proxy

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

const (
	// answerTime is what is kept of a request's time to write its answer and get it to the client, and answerPart the
	// share of a short time that is: the client allows 50 ms more, and the answer may come while it waits.
	answerTime = 60 * time.Millisecond
	answerPart = 4
	goneIn     = 100 * time.Millisecond // told to those refused meanwhile: their connection is closed soon
	longestNap = 50 * time.Millisecond  // between looks at the order to stop
	sweepEvery = time.Second
	maxOpen    = 4096 // requests open at once; the settings may say fewer
	// sharedCalls is how many calls that may be repeated share a connection where new ones are priced: more would save
	// less than an eighth of the handshakes, and lose more calls with a connection that breaks.
	sharedCalls = 8

	// Where the settings tell nothing.
	defaultIdle    = 15 * time.Second
	defaultConnect = time.Second
)

// Config is what a proxy is told at its start.
type Config struct {
	Settings               settings.Settings
	Seed                   uint64
	InitialState           watch.InitialState
	MaxDescriptors         int     // descriptors that the process may hold
	MaxMemoryBytes         int     // bytes that the process may use
	TransferBytesPerSecond float64 // bytes a second of one transfer; 0: not told

	DroppedLogLines func() int64 // how many lines of the log were dropped; nil: not known
	OnViolation     func(string) // called when the program finds that it has broken a rule; nil: it is only counted
}

// Proxy is one edge proxy. Everything in it runs on the loop's goroutine.
type Proxy struct {
	loop      *eventloop.Loop
	router    *policy.Router
	set       settings.Settings
	class     map[string]int // by name: its number in the settings
	flow      float64        // bytes a second of one transfer; 0: not told
	log       *slog.Logger
	rng       *rand.Rand
	lifecycle *lifecycle

	inbox    []policy.Event // of this turn, for the module
	requests map[int64]*request
	lastID   int64
	maxOpen  int
	sockets  int // connections to caches
	memory   *memoryBudget

	endpoints      *endpointTable
	pools          *connpool.Pools
	fastcgiServers []*FastCGIServer
	coordinator    *coordinatorWatch

	open       int // requests taken and not ended
	counters   *counters
	logDropped func() int64
	loader     loader
	clock      *coordinatorClock
	audit      *audit
}

// request is one client request until its answer is given and its last attempt has ended.
type request struct {
	Request
	number     int64 // the module's
	to         Responder
	deadline   eventloop.Timestamp // by which the answer must have been written
	effect     policy.Idempotency
	answers    int  // final answers so far, as the audit counts
	mayHaveRun bool // a call was written whole and not proven not to have run, as the audit knows
	timer      *eventloop.Timer
	attempts   []*attempt
	pending    int
	registered bool // the module has heard of it and its first actions have been carried out
	finished   bool // answered, or the client has left
}

// safe says that the request may be repeated freely.
func (q *request) safe() bool { return q.effect == policy.Idempotent }

// New returns a proxy that knows what the configuration knows.
func New(loop *eventloop.Loop, cfg Config, logger *slog.Logger) *Proxy {
	p := &Proxy{
		loop: loop, router: policy.New(cfg.Settings.Policy, cfg.Seed), log: logger,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		requests: map[int64]*request{},
		sockets:  UpstreamSockets(cfg.MaxDescriptors), memory: newMemoryBudget(loop, cfg.MaxMemoryBytes),
		counters:  newCounters(),
		lifecycle: &lifecycle{loop: loop, log: logger}, logDropped: cfg.DroppedLogLines,
	}
	p.audit = newAudit(p, cfg.OnViolation)
	p.pools = connpool.New(loop, connpool.Limits{}, p.openUpstream)
	p.clock = &coordinatorClock{loop: loop, log: logger, notify: p.notify}
	p.endpoints = &endpointTable{
		log: logger, clock: p.clock, pools: p.pools, notify: p.notify, startMillis: map[string]int64{},
	}
	p.apply(cfg.Settings, cfg.TransferBytesPerSecond)
	p.applyInitialState(cfg.InitialState.Events)
	p.settle()
	p.sweep()
	return p
}

// apply takes over settings, at the start and later, wherever the proxy goes by them itself.
func (p *Proxy) apply(set settings.Settings, flow float64) {
	p.set, p.flow, p.class = set, flow, map[string]int{}
	p.endpoints.kinds = set.Kinds
	p.endpoints.zones = set.Zones
	for i, c := range set.Policy.Classes {
		p.class[c.Name] = i
		p.counters.addClass(c.Name)
	}
	p.maxOpen = min(maxOpen, cmp.Or(set.MaxOpenRequests, maxOpen))
	shared := 0
	if set.HandshakesPriced {
		shared = sharedCalls
	}
	p.pools.SetLimits(connpool.Limits{
		MaxUsesPerConn: max(1, set.MaxStreamsPerConn),
		SharedUses:     shared,
		MaxConns:       p.sockets,
		DedicatedConns: p.sockets / 2,
		ConnectTimeout: cmp.Or(set.ConnectTimeout, defaultConnect),
		// Before the server closes it: a call that crosses the server's close would be lost.
		IdleTimeout: cmp.Or(set.ServerIdleTimeout, defaultIdle) * 2 / 3,
	})
}

// ClientSockets is the part of the descriptors that clients may hold: they keep to a third.
func ClientSockets(all int) int { return all * 2 / 5 }

// UpstreamSockets is the part for caches. The rest is for operators (16), and for what must never be missing: the
// coordinator's stream, the listening sockets, the loop, the configuration when it is read again.
func UpstreamSockets(all int) int { return max(1, all/2-20) }

// Run serves until it has been stopped. Orders are looked at between turns.
func (p *Proxy) Run(orders Signals) error {
	for p.lifecycle.phase != Stopped {
		if err := p.loop.Wait(longestNap); err != nil {
			return fmt.Errorf("event loop: %w", err)
		}
		p.settle()
		p.reload(orders)
		p.advance(orders.Stop)
	}
	return nil
}

// settle hands what has gathered to the module, carries out its actions and writes, until nothing is left.
func (p *Proxy) settle() {
	for {
		p.consult()
		p.loop.Flush()
		for _, f := range p.fastcgiServers {
			f.submitUnblocked()
		}
		if len(p.inbox) == 0 {
			break
		}
	}
	if p.lifecycle.disconnecting() {
		for _, f := range p.fastcgiServers {
			f.closeDrainedConns()
		}
	}
}

func (p *Proxy) consult() {
	for len(p.inbox) > 0 {
		events := p.inbox
		p.inbox = nil
		var actions []policy.Action
		for _, ev := range events {
			actions = append(actions, p.router.Handle(p.loop.Now(), ev)...)
		}
		for _, a := range actions {
			p.carryOut(a)
		}
		for _, ev := range events {
			if ev, ok := ev.(policy.Request); ok {
				p.heard(p.requests[ev.ID])
			}
		}
	}
}

// heard notes that the module knows a request.
func (p *Proxy) heard(q *request) {
	q.registered = true
	p.forget(q)
}

func (p *Proxy) notify(ev policy.Event) { p.inbox = append(p.inbox, ev) }

func (p *Proxy) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.Fetch:
		if q := p.requests[a.ID]; q != nil {
			p.attempt(q, a)
		}
	case policy.Reject:
		p.answer(p.requests[a.ID], Answer{Status: Rejected, RetryAfter: a.RetryAfter})
	case policy.Fail:
		p.answer(p.requests[a.ID], Answer{Status: Failed})
	case policy.Cancel:
		if q := p.requests[a.ID]; q != nil && a.Attempt < len(q.attempts) && p.mayCancel(q.attempts[a.Attempt]) {
			p.end(q.attempts[a.Attempt], resp.Answer{}, policy.ResultCancelled)
		}
	case policy.StartTimer:
		token := a.Token
		p.loop.At(p.loop.Now()+a.In, func() { p.notify(policy.TimerFired{Token: token}) })
	}
}

// Submit takes a request whose last byte has just come. It returns the request's number, for Abandon, or 0
// when it was answered at once.
func (p *Proxy) Submit(in Request, to Responder) int64 {
	verdict := policy.MayAdmit(policy.AdmitInfo{ClientDisconnected: to.ClientDisconnected().GraceOver, Stopping: p.lifecycle.rejecting(), Remaining: in.Timeout,
		OpenRequests: len(p.requests), MaxOpenRequests: p.maxOpen, MemoryFull: p.memory.full()})
	if !p.counters.allows(actionStart, verdict) {
		answer := Answer{Status: Rejected, RetryAfter: goneIn}
		if verdict.Rule == policy.RuleLimits { // a refusal is all that memory allows; clients come again
			answer = Answer{Status: Overloaded}
		}
		p.log.Info("request not taken", "request", in.ID, "rule", verdict.Rule, "reason", verdict.Reason)
		p.rejectUnsubmitted(in, to, answer)
		return 0
	}
	p.lastID++
	now := p.loop.Now()
	q := &request{Request: in, number: p.lastID, to: to, deadline: now + in.Timeout - min(answerTime, in.Timeout/answerPart),
		effect: p.set.Policy.Classes[in.Class].Idempotency}
	if p.lifecycle.phase == Stopping {
		q.deadline = max(now, min(q.deadline, p.lifecycle.answerBy))
	}
	p.requests[q.number] = q
	p.open++
	p.memory.requestBodies += len(q.Body)
	q.timer = p.loop.At(q.deadline, func() { p.expire(q) })
	p.notify(policy.Request{ID: q.number, Object: in.Object, Part: in.Part, Group: in.Group, Class: in.Class,
		SizeKB: in.SizeKB, Remaining: q.deadline - now})
	return q.number
}

// rejectUnsubmitted answers a request that has not been submitted to the decision module.
func (p *Proxy) rejectUnsubmitted(in Request, to Responder, a Answer) {
	p.counters.count(in.ClassName, a.Status.outcome())
	to.Respond(p.advised(a))
}

// HandleDisconnect takes note that the client has given a request up; it gets no answer.
func (p *Proxy) HandleDisconnect(number int64) {
	if q := p.requests[number]; q != nil && !q.finished {
		p.finish(q)
		p.counters.count(q.ClassName, faulted)
		p.notify(policy.ClientDisconnected{ID: number})
	}
}

// handleConnectionClosed ends an open request whose client connection has closed. byPeer says that the client closed it.
func (p *Proxy) handleConnectionClosed(number int64, byPeer bool) {
	if q := p.requests[number]; q != nil {
		p.audit.closed(q, byPeer)
	}
	p.HandleDisconnect(number)
}

// classIndex is a class's number in the settings.
func (p *Proxy) classIndex(name string) (index int, known bool) {
	index, known = p.class[name]
	return index, known
}

// CancelAfterDisconnect answers a request whose client has probably left, and stops what is out for it. A client that has only ended
// its own side learns what to make of it.
func (p *Proxy) CancelAfterDisconnect(number int64) {
	q := p.requests[number]
	if q == nil || q.finished {
		return
	}
	status := Rejected
	for _, a := range q.attempts {
		if a.started && !q.safe() { // it may have run
			status = Failed
		}
	}
	p.answer(q, Answer{Status: status})
	p.notify(policy.ClientDisconnected{ID: number})
}

// expire ends what is still out when a request's time is over; the module then gives the final answer. One that
// it holds without an attempt is failed here: every request gets its answer in time.
func (p *Proxy) expire(q *request) {
	if q.pending == 0 {
		p.answer(q, Answer{Status: Failed})
		p.notify(policy.ClientDisconnected{ID: q.number})
		return
	}
	q.timer = p.loop.At(p.loop.Now()+answerTime/4, func() { p.expire(q) })
	for _, a := range q.attempts {
		p.end(a, resp.Answer{}, policy.ResultTimeout)
	}
}

// answer gives the final answer, once.
func (p *Proxy) answer(q *request, a Answer) {
	if q == nil || q.finished {
		return
	}
	if a.Status != Served && a.Status != NotModified {
		p.log.Info("request not served", "request", q.ID, "class", q.ClassName, "answer", a.Status.outcome(), "attempts", len(q.attempts))
	}
	p.finish(q)
	p.audit.answered(q, a.Status)
	p.counters.count(q.ClassName, a.Status.outcome())
	q.to.Respond(p.advised(a))
}

// advised leaves the advice to stay away out of an answer where the settings do not allow it.
func (p *Proxy) advised(a Answer) Answer {
	if p.set.RetryAfterDisabled {
		a.RetryAfter = 0
	}
	return a
}

func (p *Proxy) finish(q *request) {
	q.finished = true
	p.open--
	p.forget(q)
}

// forget drops a request that is over. One whose attempts are still out keeps its timer, which ends them: a
// silent cache would else keep them for good. One that is taken back in the turn it came in stays until the
// module has heard of it: the module decides on an attempt first, waits for its end, and would else count it as
// under way for good, a link's place lost with each.
func (p *Proxy) forget(q *request) {
	if q.registered && q.finished && q.pending == 0 && p.requests[q.number] == q {
		p.loop.Stop(q.timer)
		p.memory.requestBodies -= len(q.Body)
		delete(p.requests, q.number)
	}
}

func (p *Proxy) sweep() {
	p.pools.CloseIdle()
	p.loop.At(p.loop.Now()+sweepEvery, p.sweep)
}
