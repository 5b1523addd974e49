package proxy

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
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
	coordinator    *coordinatorWatch

	openRequests int // requests taken and not ended
	counters     *counters
	logDropped   func() int64
	configLoader configLoader
	clock        peerClock
	newestKnown  eventloop.Timestamp // the latest time that the configuration's purges tell; 0: none
	invariants   *invariantChecker
}

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

func (p *Proxy) notify(ev policy.Event) { p.inbox = append(p.inbox, ev) }

// classIndex is a class's number in the settings.
func (p *Proxy) classIndex(name string) (index int, known bool) {
	index, known = p.classIndexes[name]
	return index, known
}

func (p *Proxy) closeIdleUpstreams() {
	p.pools.CloseIdle()
	p.loop.At(p.loop.Now()+idleSweepInterval, p.closeIdleUpstreams)
}
