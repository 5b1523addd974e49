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
	// answerReserve is what is kept of a request's time to write its answer and get it to the client, and answerPart the
	// share of a short time that is: the client allows 50 ms more, and the answer may come while it waits.
	answerReserve        = 60 * time.Millisecond
	answerReserveDivisor = 4
	closingRetryAfter    = 100 * time.Millisecond // told to those refused meanwhile: their connection is closed soon
	maxPollTime          = 50 * time.Millisecond  // between looks at the order to stop
	idleSweepInterval    = time.Second
	maxOpenRequests      = 4096 // requests open at once; the settings may say fewer
	// maxSharedCalls is how many calls that may be repeated share a connection where new ones are priced: more would save
	// less than an eighth of the handshakes, and lose more calls with a connection that breaks.
	maxSharedCalls = 8

	// Where the settings tell nothing.
	defaultServerIdleTimeout = 15 * time.Second
	defaultConnectTimeout    = time.Second
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
	loop                   *eventloop.Loop
	router                 *policy.Router
	set                    settings.Settings
	classIndexes           map[string]int // by name: its number in the settings
	transferBytesPerSecond float64        // bytes a second of one transfer; 0: not told
	log                    *slog.Logger
	rng                    *rand.Rand
	lifecycle              *lifecycle

	inbox    []policy.Event // of this turn, for the module
	requests map[int64]*request
	lastID   int64
	maxOpen  int
	sockets  int // connections to caches
	memory   *memoryBudget

	servers        map[string]int64 // by id: when it started
	pools          *connpool.Pools
	fastcgiServers []*FastCGIServer
	follower       *follower

	openRequests int // requests taken and not ended
	counters     *counters
	logDropped   func() int64
	configLoader configLoader
	clock        peerClock
	newestKnown  eventloop.Timestamp // the latest time that the configuration's purges tell; 0: none
	invariants   *invariantChecker
}

// request is one client request until its answer is given and its last attempt has ended.
type request struct {
	Request
	moduleID     int64 // the module's
	responder    Responder
	deadline     eventloop.Timestamp // by which the answer must have been written
	idempotency  policy.Idempotency
	finalAnswers int  // final answers so far, as the audit counts
	mayHaveRun   bool // a call was written whole and not proven not to have run, as the audit knows
	timer        *eventloop.Timer
	attempts     []*attempt
	openAttempts int
	routed       bool // the module has heard of it and its first actions have been carried out
	finished     bool // answered, or the client has left
}

// isIdempotent says that the request may be repeated freely.
func (q *request) isIdempotent() bool { return q.idempotency == policy.Idempotent }

// New returns a proxy that knows what the configuration knows.
func New(loop *eventloop.Loop, cfg Config, logger *slog.Logger) *Proxy {
	p := &Proxy{
		loop: loop, router: policy.New(cfg.Settings.Policy, cfg.Seed), log: logger,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		requests: map[int64]*request{}, servers: map[string]int64{},
		sockets: UpstreamSockets(cfg.MaxDescriptors), memory: newMemoryBudget(loop, cfg.MaxMemoryBytes),
		counters:  newCounters(),
		lifecycle: &lifecycle{loop: loop, log: logger}, logDropped: cfg.DroppedLogLines,
	}
	p.invariants = newInvariantChecker(p, cfg.OnViolation)
	p.pools = connpool.New(loop, connpool.Limits{}, p.openUpstream)
	p.apply(cfg.Settings, cfg.TransferBytesPerSecond)
	p.applyKnown(cfg.InitialState.Events)
	p.processEvents()
	p.closeIdleUpstreams()
	return p
}

// applyKnown takes the events that the configuration tells. How long ago its purges were is certain only against the latest.
func (p *Proxy) applyKnown(events []watch.Event) {
	for _, ev := range events {
		if ev.Purge != nil {
			p.newestKnown = max(p.newestKnown, time.Duration(ev.Purge.At)*time.Millisecond)
		}
	}
	for _, ev := range events {
		p.applyEvent(ev)
	}
}

// apply takes over settings, at the start and later, wherever the proxy goes by them itself.
func (p *Proxy) apply(set settings.Settings, flow float64) {
	p.set, p.transferBytesPerSecond, p.classIndexes = set, flow, map[string]int{}
	for i, c := range set.Policy.Classes {
		p.classIndexes[c.Name] = i
		p.counters.addClass(c.Name)
	}
	p.maxOpen = min(maxOpenRequests, cmp.Or(set.MaxOpenRequests, maxOpenRequests))
	shared := 0
	if set.HandshakesPriced {
		shared = maxSharedCalls
	}
	p.pools.SetLimits(connpool.Limits{
		MaxUsesPerConn: max(1, set.MaxStreamsPerConn),
		SharedUses:     shared,
		MaxConns:       p.sockets,
		DedicatedConns: p.sockets / 2,
		ConnectTimeout: cmp.Or(set.ConnectTimeout, defaultConnectTimeout),
		// Before the server closes it: a call that crosses the server's close would be lost.
		IdleTimeout: cmp.Or(set.ServerIdleTimeout, defaultServerIdleTimeout) * 2 / 3,
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
		if err := p.loop.Wait(maxPollTime); err != nil {
			return fmt.Errorf("event loop: %w", err)
		}
		p.processEvents()
		p.pollReload(orders)
		p.advancePhase(orders.Stop)
	}
	return nil
}

// processEvents hands what has gathered to the module, carries out its actions and writes, until nothing is left.
func (p *Proxy) processEvents() {
	for {
		p.dispatchEvents()
		p.loop.Flush()
		for _, f := range p.fastcgiServers {
			f.unpark()
		}
		if len(p.inbox) == 0 {
			break
		}
	}
	if p.lifecycle.disconnecting() {
		for _, f := range p.fastcgiServers {
			f.closeDrained()
		}
	}
}

func (p *Proxy) dispatchEvents() {
	for len(p.inbox) > 0 {
		events := p.inbox
		p.inbox = nil
		var actions []policy.Action
		for _, ev := range events {
			actions = append(actions, p.router.Handle(p.loop.Now(), ev)...)
		}
		for _, a := range actions {
			p.execute(a)
		}
		for _, ev := range events {
			if ev, ok := ev.(policy.Request); ok {
				p.markRouted(p.requests[ev.ID])
			}
		}
	}
}

// markRouted notes that the module knows a request.
func (p *Proxy) markRouted(q *request) {
	q.routed = true
	p.releaseIfDone(q)
}

func (p *Proxy) notify(ev policy.Event) { p.inbox = append(p.inbox, ev) }

func (p *Proxy) execute(a policy.Action) {
	switch a := a.(type) {
	case policy.Fetch:
		if q := p.requests[a.ID]; q != nil {
			p.startAttempt(q, a)
		}
	case policy.Reject:
		p.answer(p.requests[a.ID], Answer{Status: Rejected, RetryAfter: a.RetryAfter})
	case policy.Fail:
		p.answer(p.requests[a.ID], Answer{Status: Failed})
	case policy.Cancel:
		if q := p.requests[a.ID]; q != nil && a.Attempt < len(q.attempts) && p.canCancel(q.attempts[a.Attempt]) {
			p.endAttempt(q.attempts[a.Attempt], resp.Answer{}, policy.ResultCancelled)
		}
	case policy.StartTimer:
		token := a.Token
		p.loop.At(p.loop.Now()+a.In, func() { p.notify(policy.TimerFired{Token: token}) })
	}
}

// Submit takes a request whose last byte has just come. It returns the request's number, for Abandon, or 0
// when it was answered at once.
func (p *Proxy) Submit(in Request, to Responder) int64 {
	_, left := to.ClientDisconnected()
	verdict := policy.MayAdmit(policy.AdmitInfo{ClientDisconnected: left, Stopping: p.lifecycle.rejecting(), Remaining: in.Timeout,
		OpenRequests: len(p.requests), MaxOpenRequests: p.maxOpen, MemoryFull: p.memory.full()})
	if !p.counters.allows(actionStart, verdict) {
		answer := Answer{Status: Rejected, RetryAfter: closingRetryAfter}
		if verdict.Rule == policy.RuleLimits { // a refusal is all that memory allows; clients come again
			answer = Answer{Status: Overloaded}
		}
		p.log.Info("request not taken", "request", in.ID, "rule", verdict.Rule, "reason", verdict.Reason)
		p.rejectUnsubmitted(in, to, answer)
		return 0
	}
	p.lastID++
	now := p.loop.Now()
	q := &request{Request: in, moduleID: p.lastID, responder: to, deadline: now + in.Timeout - min(answerReserve, in.Timeout/answerReserveDivisor),
		idempotency: p.set.Policy.Classes[in.Class].Idempotency}
	if p.lifecycle.phase == Stopping {
		q.deadline = max(now, min(q.deadline, p.lifecycle.answerBy))
	}
	p.requests[q.moduleID] = q
	p.openRequests++
	p.memory.requestBodies += len(q.Body)
	q.timer = p.loop.At(q.deadline, func() { p.expire(q) })
	p.notify(policy.Request{ID: q.moduleID, Object: in.Object, Part: in.Part, Group: in.Group, Class: in.Class,
		SizeKB: in.SizeKB, Remaining: q.deadline - now})
	return q.moduleID
}

// rejectUnsubmitted answers a request that has not been submitted to the decision module.
func (p *Proxy) rejectUnsubmitted(in Request, to Responder, a Answer) {
	p.counters.count(in.ClassName, a.Status.outcome())
	to.Respond(p.withAllowedRetryAfter(a))
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
		p.invariants.checkConnectionClosed(q, byPeer)
	}
	p.HandleDisconnect(number)
}

// classIndex is a class's number in the settings.
func (p *Proxy) classIndex(name string) (index int, known bool) {
	index, known = p.classIndexes[name]
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
		if a.started && !q.isIdempotent() { // it may have run
			status = Failed
		}
	}
	p.answer(q, Answer{Status: status})
	p.notify(policy.ClientDisconnected{ID: number})
}

// expire ends what is still out when a request's time is over; the module then gives the final answer. One that
// it holds without an attempt is failed here: every request gets its answer in time.
func (p *Proxy) expire(q *request) {
	if q.openAttempts == 0 {
		p.answer(q, Answer{Status: Failed})
		p.notify(policy.ClientDisconnected{ID: q.moduleID})
		return
	}
	q.timer = p.loop.At(p.loop.Now()+answerReserve/4, func() { p.expire(q) })
	for _, a := range q.attempts {
		p.endAttempt(a, resp.Answer{}, policy.ResultTimeout)
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
	p.invariants.checkFinalAnswer(q, a.Status)
	p.counters.count(q.ClassName, a.Status.outcome())
	q.responder.Respond(p.withAllowedRetryAfter(a))
}

// withAllowedRetryAfter leaves the advice to stay away out of an answer where the settings do not allow it.
func (p *Proxy) withAllowedRetryAfter(a Answer) Answer {
	if p.set.RetryAfterDisabled {
		a.RetryAfter = 0
	}
	return a
}

func (p *Proxy) finish(q *request) {
	q.finished = true
	p.openRequests--
	p.releaseIfDone(q)
}

// releaseIfDone drops a request that is over. One whose attempts are still out keeps its timer, which ends them: a
// silent cache would else keep them for good. One that is taken back in the turn it came in stays until the
// module has heard of it: the module decides on an attempt first, waits for its end, and would else count it as
// under way for good, a link's place lost with each.
func (p *Proxy) releaseIfDone(q *request) {
	if q.routed && q.finished && q.openAttempts == 0 && p.requests[q.moduleID] == q {
		p.loop.Stop(q.timer)
		p.memory.requestBodies -= len(q.Body)
		delete(p.requests, q.moduleID)
	}
}

func (p *Proxy) closeIdleUpstreams() {
	p.pools.CloseIdle()
	p.loop.At(p.loop.Now()+idleSweepInterval, p.closeIdleUpstreams)
}
