package proxy

// This file applies the coordinator's events to the proxy.

import (
	"net/netip"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// groupCount is the number of groups of objects, numbered from 0.
const groupCount = 256

// WatchCoordinator starts watching the coordinator at addr for events after lastIndex.
func (p *Proxy) WatchCoordinator(addr netip.AddrPort, lastIndex int64) {
	p.coordinator = &coordinatorWatch{
		handler: p, loop: p.loop, log: p.log, rng: p.rng, addr: addr, lastIndex: lastIndex,
	}
	p.coordinator.start()
}

// SwitchCoordinator watches the coordinator at addr instead of the previous one. The new coordinator must continue the
// event indices of the previous one.
func (p *Proxy) SwitchCoordinator(addr netip.AddrPort) { p.coordinator.switchTo(addr) }

// applyInitialState applies the events of the configuration's initial state. They are not recent, so their times say
// little about the clock. The time of the newest purge is recorded first, because it limits the age of each purge (see
// coordinatorClock.age).
func (p *Proxy) applyInitialState(events []watch.Event) {
	for _, ev := range events {
		if ev.Purge != nil {
			purgedAt := time.Duration(ev.Purge.AtMillis) * time.Millisecond
			p.clock.newestInitialPurge = max(p.clock.newestInitialPurge, purgedAt)
		}
	}
	for _, ev := range events {
		p.processWatchEvent(ev, 0)
	}
}

// applyEvent implements watchHandler.
func (p *Proxy) applyEvent(ev watch.Event, publishedAfter eventloop.Timestamp) {
	p.processWatchEvent(ev, publishedAfter)
}

// applyLateEvent implements watchHandler.
func (p *Proxy) applyLateEvent(ev watch.Event, superseded func(endpoint string) bool) {
	if ev.Endpoints != nil {
		ev.Endpoints = p.endpoints.withoutSuperseded(ev.Endpoints, superseded)
	}
	p.processWatchEvent(ev, 0)
}

// countUnreadable implements watchHandler.
func (p *Proxy) countUnreadable(parts int) { p.counters.unreadableParts += parts }

// processWatchEvent passes an event on to the decision module. The event was published after publishedAfter; 0:
// unknown. The first endpoint list ends the Starting phase.
func (p *Proxy) processWatchEvent(ev watch.Event, publishedAfter eventloop.Timestamp) {
	p.invariants.observeEvent(ev)
	if ev.Purge != nil {
		p.processPurge(ev.Purge, publishedAfter)
	}
	if ev.Endpoints != nil {
		p.endpoints.apply(ev.Endpoints)
		if p.lifecycle.phase == Starting {
			p.lifecycle.setPhase(Serving, p.openRequests)
		}
	}
	if ev.Unreadable > 0 {
		p.countUnreadable(ev.Unreadable)
		p.log.Error("coordinator event partly unreadable",
			"event", ev.Index, "parts", ev.Unreadable)
	}
}

// processPurge passes a purge on to the decision module. A purge without a time counts as new, and one whose target
// could not be decoded purges every group.
func (p *Proxy) processPurge(purge *watch.Purge, publishedAfter eventloop.Timestamp) {
	age := time.Duration(0)
	if purge.AtMillis != 0 {
		p.clock.observe(time.Duration(purge.AtMillis)*time.Millisecond, publishedAfter)
		age = p.clock.age(purge.AtMillis)
	}
	switch {
	case purge.Object != "":
		p.notify(policy.Purge{Object: purge.Object, Age: age})
	case purge.Group != nil:
		p.notify(policy.Purge{Group: *purge.Group, Age: age})
	default:
		for group := range groupCount {
			p.notify(policy.Purge{Group: group, Age: age})
		}
	}
}
