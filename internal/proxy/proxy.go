package proxy

// This file defines Proxy, its main loop, and the exchange of events and actions with the decision module
// (package policy).

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/dedup"
	"cloverdoor/internal/eventloop"
	"cloverdoor/policy"
)

const (
	// maxPollTime is the longest time that the event loop waits before signals are polled again.
	maxPollTime = 50 * time.Millisecond
	// idleSweepInterval is the interval at which idle connections to caches are closed. connpool.Pools.CloseIdle
	// requires one second.
	idleSweepInterval = time.Second
	// maxEventsPerTurn is the number of events for the decision module from which on clients' further requests wait for
	// the next turn of the event loop.
	maxEventsPerTurn = 128
)

// Proxy is one edge proxy. It owns the open requests and their attempts, reports what happens to them to the
// decision module as events, and executes the actions that the module returns. Its methods must be called
// on the event loop's goroutine.
type Proxy struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	rng        *rand.Rand
	router     *policy.Router // the decision module
	config     runtimeConfig
	lifecycle  *lifecycle
	memory     *memoryBudget
	counters   *counters
	invariants *invariantChecker
	claimedIDs *dedup.Table // of writes that may run, or may have run

	pendingEvents     []policy.Event     // events not handed to the decision module yet
	requests          map[int64]*request // by request.number
	lastRequestNumber int64
	openRequests      int // number of requests admitted and not yet answered or given up by their clients
	maxUpstreamConns  int
	countDroppedLines func() int64 // returns the number of log lines dropped so far; nil: unknown
	configLoader      configLoader

	endpoints      *endpointTable
	pools          *connpool.Pools
	fastcgiServers []*FastCGIServer
	coordinator    *coordinatorWatch
	clock          *coordinatorClock
}

// New returns a proxy with the endpoints and purges of the configuration's initial state. It accepts no
// clients before Listen or ListenOn is called.
func New(loop *eventloop.Loop, cfg Config, logger *slog.Logger) *Proxy {
	p := &Proxy{
		loop:              loop,
		log:               logger,
		rng:               rand.New(rand.NewPCG(cfg.Seed, 1)),
		router:            policy.New(cfg.Settings.Policy, cfg.Seed),
		lifecycle:         &lifecycle{loop: loop, log: logger},
		memory:            newMemoryBudget(loop, cfg.MaxMemoryBytes),
		counters:          newCounters(),
		requests:          map[int64]*request{},
		maxUpstreamConns:  MaxUpstreamConns(cfg.MaxDescriptors),
		countDroppedLines: cfg.DroppedLogLines,
		claimedIDs:        cmp.Or(cfg.ClaimedIDs, dedup.New()),
	}
	p.invariants = newInvariantChecker(p, cfg.OnViolation)
	p.pools = connpool.New(loop, connpool.Limits{}, p.openUpstream)
	p.clock = &coordinatorClock{loop: loop, log: logger, notify: p.notify}
	p.endpoints = &endpointTable{
		log:         logger,
		clock:       p.clock,
		pools:       p.pools,
		notify:      p.notify,
		startMillis: map[string]int64{},
	}
	p.applyConfig(newRuntimeConfig(cfg.Settings, cfg.TransferBytesPerSecond))
	p.applyInitialState(cfg.InitialState.Events)
	p.runEventQueue()
	p.closeIdleUpstreams()
	return p
}

// applyConfig replaces the configuration that can change at run time. The caller notifies the decision
// module.
func (p *Proxy) applyConfig(c runtimeConfig) {
	p.config = c
	for _, class := range c.Policy.Classes {
		p.counters.addClass(class.Name)
	}
	p.endpoints.kinds = c.Kinds
	p.endpoints.zones = c.Zones
	p.pools.SetLimits(c.poolLimits(p.maxUpstreamConns))
}

// Run runs the event loop until the proxy has stopped. Signals are polled after each turn of the loop. It
// returns an error if the loop fails.
func (p *Proxy) Run(signals Signals) error {
	for p.lifecycle.phase != Stopped {
		if err := p.loop.Wait(maxPollTime); err != nil {
			return fmt.Errorf("event loop: %w", err)
		}
		p.runEventQueue()
		p.pollReload(signals)
		p.advancePhase(signals.Stop)
	}
	return nil
}

// runEventQueue dispatches events and writes output until no event is queued. While clients are to be
// disconnected, it then closes their connections where possible, after everything that has been received is
// processed and all output of the turn is written.
func (p *Proxy) runEventQueue() {
	for {
		p.dispatchEvents()
		p.loop.Flush()
		for _, f := range p.fastcgiServers {
			f.submitUnblocked()
		}
		if len(p.pendingEvents) == 0 {
			break
		}
	}
	if !p.lifecycle.disconnecting() {
		return
	}
	for _, f := range p.fastcgiServers {
		f.closeDrainedConns()
	}
	p.dispatchEvents()
	p.loop.Flush()
}

// dispatchEvents hands the queued events to the decision module and executes its actions, which may queue
// further events.
func (p *Proxy) dispatchEvents() {
	for len(p.pendingEvents) > 0 {
		events := p.pendingEvents
		p.pendingEvents = nil
		var actions []policy.Action
		for _, ev := range events {
			actions = append(actions, p.router.Handle(p.loop.Now(), ev)...)
		}
		for _, a := range actions {
			p.execute(a)
		}
		p.markRouted(events)
	}
}

// isBacklogged implements requestHandler.
func (p *Proxy) isBacklogged() bool { return len(p.pendingEvents) >= maxEventsPerTurn }

// notify queues an event for the decision module.
func (p *Proxy) notify(ev policy.Event) { p.pendingEvents = append(p.pendingEvents, ev) }

// classIndex returns a class's index among the classes of the settings in use.
func (p *Proxy) classIndex(name string) (index int, known bool) {
	index, known = p.config.classIndexes[name]
	return index, known
}

// closeIdleUpstreams closes idle connections to caches, now and periodically.
func (p *Proxy) closeIdleUpstreams() {
	p.pools.CloseIdle()
	p.loop.At(p.loop.Now()+idleSweepInterval, p.closeIdleUpstreams)
}
