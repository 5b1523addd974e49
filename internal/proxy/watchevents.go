package proxy

import (
	"net/netip"
)

// WatchCoordinator starts to watch the coordinator at addr for events after lastIndex.
func (p *Proxy) WatchCoordinator(addr netip.AddrPort, lastIndex int64) {
	p.coordinator = &coordinatorWatch{
		handler: p, loop: p.loop, log: p.log, rng: p.rng, addr: addr, lastIndex: lastIndex,
	}
	p.coordinator.start()
}

// SwitchCoordinator watches the coordinator at addr instead. Its events continue the indices of the one
// before.
func (p *Proxy) SwitchCoordinator(addr netip.AddrPort) { p.coordinator.switchTo(addr) }

// countUnreadable implements watchHandler.
func (p *Proxy) countUnreadable(parts int) { p.counters.unreadableParts += parts }
