package proxy

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cloverdoor/internal/feed"
	"cloverdoor/internal/net"
	"cloverdoor/policy"
)

const (
	silentAfter = 2500 * time.Millisecond // the coordinator says something every second
	// lineAfter is how long a line may take to come whole, a list in many pieces for example. What the coordinator
	// has to tell counts as told after 7 s, whether it came or not.
	lineAfter      = 4 * time.Second
	feedTimeout    = 500 * time.Millisecond
	refollowAfter  = 100 * time.Millisecond // doubles with each attempt that brought nothing
	refollowAtMost = 400 * time.Millisecond // drains may follow at once when the coordinator is back
)

var (
	errGap    = errors.New("events are missing")
	errSilent = errors.New("coordinator is silent")
)

// follower keeps up with the coordinator's stream.
type follower struct {
	p     *Proxy
	addr  netip.AddrPort
	last  int64 // number of the last event that was taken
	conn  *net.Conn
	since net.Clock  // when conn was begun
	whole net.Clock  // when it last brought a whole line, or was begun
	again *net.Timer // of the next connect, while there is no conn
	pause time.Duration
}

// Follow keeps the proxy up to date with the coordinator at addr from event last on.
func (p *Proxy) Follow(addr netip.AddrPort, last int64) {
	p.follower = &follower{p: p, addr: addr, last: last, pause: refollowAfter}
	p.follower.connect()
	p.follower.watch()
}

// Refollow goes over to the coordinator at addr; its events are numbered on from those of the one before. That
// one is left at once: it may keep its connection open for a while and tell nothing more on it.
func (p *Proxy) Refollow(addr netip.AddrPort) {
	f := p.follower
	if addr == f.addr {
		return
	}
	f.addr, f.pause = addr, refollowAfter
	p.loop.Stop(f.again)
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	f.connect()
}

func (f *follower) connect() {
	f.since, f.whole = f.p.loop.Now(), f.p.loop.Now()
	conn, err := f.p.loop.Dial(f.addr, feedTimeout, f)
	if err != nil {
		f.Closed(err)
		return
	}
	f.conn = conn
	conn.Write(feed.Follow(f.last))
}

// watch notices a stream that has gone silent, as that of a machine that was cut off does, or that goes on without ever
// ending a line: a drain in the middle of it would not be heeded.
func (f *follower) watch() {
	now := f.p.loop.Now()
	if f.conn != nil && (now-max(f.conn.Heard(), f.since) > silentAfter || now-f.whole > lineAfter) {
		f.conn.Close()
		f.Closed(errSilent)
	}
	f.p.loop.At(f.p.loop.Now()+silentAfter/10, f.watch)
}

// Receive takes whole lines off what has come in.
func (f *follower) Receive(data []byte) (used int, err error) {
	for {
		n, line, err := feed.Next(data[used:])
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		f.whole = f.p.loop.Now()
		ev, err := feed.Decode(line)
		if err != nil {
			return used, err
		}
		if err := f.take(ev); err != nil {
			return used, err
		}
		f.pause = refollowAfter
	}
}

// take passes on the next event in order. Repeats are dropped; a gap means that the stream must be followed
// anew from the last event taken.
func (f *follower) take(ev feed.Event) error {
	switch {
	case ev.Index <= f.last:
		return nil
	case ev.Tick() || ev.Index > f.last+1:
		return errGap
	}
	f.last = ev.Index
	f.p.applyEvent(ev)
	return nil
}

// jitter returns between half of a pause and the whole. All processes lose a coordinator at the same time, and would
// else come back in step.
func jitter(pause time.Duration, rng *rand.Rand) time.Duration {
	return pause/2 + time.Duration(rng.Int64N(int64(pause/2)))
}

// Closed follows the stream anew, after a pause.
func (f *follower) Closed(err error) {
	f.conn = nil
	if f.pause == refollowAfter { // one line for each outage
		f.p.log.Warn("coordinator lost, followed again", "error", err, "event", f.last)
	}
	f.again = f.p.loop.At(f.p.loop.Now()+jitter(f.pause, f.p.rng), f.connect)
	f.pause = min(2*f.pause, refollowAtMost)
}

// applyEvent passes one event of the coordinator on to the module and keeps the pools in step with it.
func (p *Proxy) applyEvent(ev feed.Event) {
	if v := ev.Evict; v != nil {
		// The moment is told in whole milliseconds: a copy made within that one may be older than the purge.
		// Its age is counted back from the turn's time, as the module does. A process that was held up in this turn would
		// else take the purge for older than it is, and ask for copies from before it.
		age := time.Since(time.UnixMilli(v.At+1)) - p.loop.Lag()
		purge := policy.Purge{Object: v.Object, Age: max(0, age)}
		if v.Group != nil {
			purge.Group = *v.Group
		}
		p.notify(purge)
	}
	if ev.Endpoints != nil {
		p.applyServers(ev.Endpoints)
	}
}

var states = map[string]policy.State{
	feed.Serving: policy.Ready, feed.Draining: policy.Draining, feed.Deleted: policy.Gone,
}

func (p *Proxy) applyServers(list *feed.Endpoints) {
	named := map[string]bool{}
	members := policy.MemberList{Whole: list.Full}
	for _, s := range list.Servers {
		m, addr, err := p.member(s)
		if err != nil {
			// What can't be read can't be used, and it may have told of a drain.
			p.log.Warn("server counts as gone", "server", s.ID, "error", err)
			m.State = policy.Gone
		}
		named[s.ID] = m.State != policy.Gone
		members.Members = append(members.Members, m)
		p.place(m, s.Started, addr)
	}
	for id := range p.servers {
		if live, told := named[id]; told && !live || !told && list.Full {
			delete(p.servers, id)
			p.pools.Retire(id)
		}
	}
	p.notify(members)
	if p.phase == Starting {
		p.phase = Serving
	}
}

// place tells the pools where a server is, and of its restarts.
func (p *Proxy) place(m policy.Member, started int64, addr netip.AddrPort) {
	if m.State == policy.Gone {
		return
	}
	if before, known := p.servers[m.ID]; known && before != started {
		p.pools.Refresh(m.ID)
	}
	p.servers[m.ID] = started
	p.pools.Set(m.ID, addr)
}

// member decodes one entry of the list.
func (p *Proxy) member(s feed.Server) (policy.Member, netip.AddrPort, error) {
	m := policy.Member{
		ID: s.ID, State: states[s.State], Started: time.Duration(s.Started) * time.Millisecond,
		Kind: slices.Index(p.set.Kinds, s.Kind), Zone: slices.Index(p.set.Zones, s.Zone),
		Weight: s.Weight, Cell: s.Cell,
	}
	if m.State == policy.Gone {
		return m, netip.AddrPort{}, nil
	}
	if m.Kind < 0 || m.Zone < 0 {
		return m, netip.AddrPort{}, errors.New("unknown kind or zone")
	}
	addr, err := netip.ParseAddrPort(s.Addr)
	return m, addr, err
}
