package proxy

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// applyEvent passes one event of the coordinator on to the module and keeps the pools in step with it.
func (p *Proxy) applyEvent(ev watch.Event) {
	p.audit.told(ev)
	if v := ev.Purge; v != nil {
		age := time.Duration(0) // where it is not told when
		if v.At != 0 {
			p.observeTime(time.Duration(v.At)*time.Millisecond, p.coordinator != nil)
			age = p.purgeAge(v.At)
		}
		p.purge(v, age)
	}
	if ev.Endpoints != nil {
		p.applyServers(ev.Endpoints)
	}
	if ev.Unreadable > 0 {
		p.counters.unreadableParts += ev.Unreadable
		p.log.Error("parts of an event can't be read: servers named in them count as gone", "event", ev.Index, "parts", ev.Unreadable)
	}
}

// groups is how many groups of objects there are.
const groups = 256

// purge passes a purge on to the module. One of something that can't be read is one of every group.
func (p *Proxy) purge(v *watch.Purge, age time.Duration) {
	switch {
	case v.Object != "":
		p.notify(policy.Purge{Object: v.Object, Age: age})
	case v.Group != nil:
		p.notify(policy.Purge{Group: *v.Group, Age: age})
	default:
		for group := range groups {
			p.notify(policy.Purge{Group: group, Age: age})
		}
	}
}

var endpointStates = map[string]policy.State{
	watch.StateServing: policy.Ready, watch.StateDraining: policy.Draining, watch.StateDeleted: policy.Removed,
}

func (p *Proxy) applyServers(list *watch.EndpointUpdate) {
	named := map[string]bool{}
	members := policy.EndpointUpdate{Full: list.Full}
	for _, s := range list.Endpoints {
		m, addr, err := p.member(s)
		if err != nil {
			// What can't be read can't be used, and it may have told of a drain.
			p.log.Warn("server counts as gone", "server", s.ID, "error", err)
			m.State = policy.Removed
		}
		if !list.Full { // a whole list may have thousands
			p.log.Info("server changed", "server", s.ID, "state", s.State, "started_ms", s.Started)
		}
		named[s.ID] = m.State != policy.Removed
		members.Endpoints = append(members.Endpoints, m)
		p.place(m, s.Started, addr)
	}
	for id := range p.servers {
		if live, told := named[id]; told && !live || !told && list.Full {
			delete(p.servers, id)
			p.pools.RemoveEndpoint(id)
		}
	}
	p.notify(members)
	if p.lifecycle.phase == Starting {
		p.lifecycle.enter(Serving, p.open)
	}
}

// place tells the pools where a server is, and of its restarts.
func (p *Proxy) place(m policy.Endpoint, started int64, addr netip.AddrPort) {
	if m.State == policy.Removed {
		return
	}
	if before, known := p.servers[m.ID]; known && before != started {
		p.pools.DiscardConns(m.ID)
	}
	p.servers[m.ID] = started
	p.pools.SetAddress(m.ID, addr)
}

// startTime is the loop's time of a late start that is told as a Unix millisecond; 0: long ago.
func (p *Proxy) startTime(unixMillis int64) eventloop.Timestamp {
	if unixMillis == 0 {
		return 0
	}
	told := time.Duration(unixMillis) * time.Millisecond
	p.observeTime(told, false)
	return p.clock.toLocal(told)
}

// member decodes one entry of the list.
func (p *Proxy) member(s watch.Endpoint) (policy.Endpoint, netip.AddrPort, error) {
	m := policy.Endpoint{
		ID: s.ID, State: endpointStates[s.State], Started: p.startTime(s.Started),
		Kind: slices.Index(p.set.Kinds, s.Kind), Zone: slices.Index(p.set.Zones, s.Zone),
		Weight: s.Weight, Cell: s.Cell,
	}
	if m.State == policy.Removed {
		return m, netip.AddrPort{}, nil
	}
	if m.Kind < 0 || m.Zone < 0 {
		return m, netip.AddrPort{}, errors.New("unknown kind or zone")
	}
	addr, err := netip.ParseAddrPort(s.Addr)
	return m, addr, err
}
