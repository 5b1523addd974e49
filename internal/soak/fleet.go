package soak

import (
	"cloverdoor/internal/fault"
	"cloverdoor/internal/relay"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// stop stops all that may still run.
func (r *run) stop() {
	for _, p := range r.fleet {
		if p.cmd != nil && p.cmd.Process != nil {
			p.cmd.Process.Kill() //nolint:errcheck // it may have ended
		}
		if p.socket != nil {
			p.socket.Close() //nolint:errcheck // nothing comes any more
		}
	}
	for _, s := range r.servers() {
		if s != nil {
			s.crash()
		}
	}
	for _, between := range r.relays {
		between.Close()
	}
	r.coordinator.mu.Lock()
	defer r.coordinator.mu.Unlock()
	for _, p := range r.coordinator.watchServers {
		if p.listener != nil {
			p.listener.Close() //nolint:errcheck // it listens no more in any case
		}
	}
}

// start starts all that takes part.
func (r *run) start() (err error) {
	serial := &sequence{}
	r.coordinator = newCoordinator(r.h)
	start := func(id, kind, zone string) *server {
		if err != nil {
			return nil
		}
		var s *server
		if s, err = newServer(r.h, id, kind, zone, r.options.Host(1), r.seed+uint64(serial.next()), serial); err == nil {
			err = r.relayTo(s)
		}
		return s
	}
	for i := range cacheCount {
		r.caches = append(r.caches, start(fmt.Sprintf("cache-%d", i), "std", "edge"))
	}
	r.parent, r.origin = start("parent", "parent", "hub"), start("origin", "origin", "hub")
	if err != nil {
		return err
	}
	var entries []string
	first := &WatchEvent{PurgedGroup: -1}
	for _, s := range r.servers() {
		entries = append(entries, s.entry())
		first.Serving = append(first.Serving, s.id)
	}
	r.coordinator.publish(first, `{"index":%d,"endpoints":{"version":1,"full":true,"servers":[`+strings.Join(entries, ",")+`]}}`)
	for i := range r.options.Fleet {
		p := &process{r: r, number: i, config: filepath.Join(r.options.ConfigDir, fmt.Sprintf("proxy-%d.json", i)),
			settings: settingsFor(i, r.options.Fleet, true)}
		if err := r.coordinator.serveProxy(i, r.options.Host(2)); err != nil {
			return err
		}
		if p.addr, p.admin, err = freeAddr(r.options.Host(10+i)), freeAddr(r.options.Host(10+i)), nil; p.addr == "" || p.admin == "" {
			return fmt.Errorf("no free address for proxy %d", i)
		}
		if i%2 == 1 {
			if err := p.holdSocket(); err != nil {
				return err
			}
		}
		r.fleet = append(r.fleet, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) servers() []*server { return append(slices.Clone(r.caches), r.parent, r.origin) }

// handedOut are the addresses that freeAddr has handed out: the system may offer one again before it is opened.
var handedOut sync.Map

// freeAddr finds a port of a host that nothing uses, and that was not handed out before.
func freeAddr(host string) string {
	for {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			return ""
		}
		ln.Close() //nolint:errcheck // it listens no more in any case
		if _, taken := handedOut.LoadOrStore(ln.Addr().String(), true); !taken {
			return ln.Addr().String()
		}
	}
}

// relayTo puts a relay before every second cache, which breaks some connections by the seed.
func (r *run) relayTo(s *server) error {
	if s.kind != "std" || len(r.caches)%2 == 0 {
		return nil
	}
	script, err := fault.Parse(fmt.Sprintf("seed %d\nlink c listen %s to %s\n"+
		"c chance 0.1 : delay 5ms jitter 10ms\nc up chance 0.03 byte 300 : reset\nc chance 0.03 : pieces 50 for 500ms\n"+
		"c down chance 0.02 byte 5000 : halfclose\n", r.seed, r.options.Host(3), s.addr))
	if err != nil {
		return err
	}
	between, err := relay.Start(script, func(e fault.Firing) { r.h.Note("relay", "%s %v", s.id, e) })
	if err != nil {
		return err
	}
	r.relays = append(r.relays, between)
	s.relayAddr = between.Addr("c").String()
	return nil
}
