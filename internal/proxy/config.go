package proxy

import (
	"cmp"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
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
