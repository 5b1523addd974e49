package soak

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"cloverdoor/internal/fault"
	"cloverdoor/internal/relay"
)

// The numbers of the hosts on loopback. Each proxy has a host of its own, numbered from proxyHost.
const (
	serverHost      = 1
	coordinatorHost = 2
	relayHost       = 3
	proxyHost       = 10
)

// start starts the servers, the coordinator and the fleet.
func (r *run) start() error {
	r.coordinator = newCoordinator(r.history)
	if err := r.startServers(); err != nil {
		return err
	}
	r.publishEndpoints()
	for i := range r.options.FleetSize {
		if err := r.startProxy(i); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts the caches, their parent and the origin.
func (r *run) startServers() (err error) {
	serials := &sequence{}
	for i := range cacheCount {
		cache, err := r.startServer(fmt.Sprintf("cache-%d", i), "std", "edge", serials)
		if err != nil {
			return err
		}
		r.caches = append(r.caches, cache)
	}
	r.parent, err = r.startServer("parent", "parent", "hub", serials)
	if err != nil {
		return err
	}
	r.origin, err = r.startServer("origin", "origin", "hub", serials)
	return err
}

func (r *run) startServer(id, kind, zone string, serials *sequence) (*server, error) {
	seed := r.seed + uint64(serials.next())
	s, err := newServer(r.history, id, kind, zone, r.options.LoopbackAddr(serverHost), seed, serials)
	if err != nil {
		return nil, err
	}
	if err := r.startRelay(s); err != nil {
		s.crash()
		return nil, err
	}
	return s, nil
}

// publishEndpoints publishes the full endpoint list as the first event.
func (r *run) publishEndpoints() {
	var entries []string
	e := &WatchEvent{PurgedGroup: noGroup}
	for _, s := range r.servers() {
		entries = append(entries, s.endpointEntry())
		e.Serving = append(e.Serving, s.id)
	}
	r.coordinator.publish(e, `{"index":%d,"endpoints":{"version":1,"full":true,"servers":[`+strings.Join(entries, ",")+`]}}`)
}

// startProxy starts one proxy of the fleet. Every second proxy listens on a socket that the soak test holds, so
// that one process can take over from another without a pause.
func (r *run) startProxy(number int) error {
	host := r.options.LoopbackAddr(proxyHost + number)
	p := &process{
		r: r, number: number, addr: freeAddr(host), adminAddr: freeAddr(host),
		configPath: filepath.Join(r.options.ConfigDir, fmt.Sprintf("proxy-%d.json", number)),
		settings:   settingsFor(number, r.options.FleetSize, true),
	}
	if p.addr == "" || p.adminAddr == "" {
		return fmt.Errorf("no free address for proxy %d", number)
	}
	if err := r.coordinator.serveProxy(p, r.options.LoopbackAddr(coordinatorHost)); err != nil {
		return err
	}
	if number%2 == 1 {
		if err := p.holdSocket(); err != nil {
			return err
		}
	}
	r.fleet = append(r.fleet, p)
	return p.start()
}

// servers returns the caches, the parent and the origin. The parent and the origin are nil if start failed before it
// had started them.
func (r *run) servers() []*server { return append(slices.Clone(r.caches), r.parent, r.origin) }

// returnedAddrs holds the addresses that freeAddr has returned, because the system may offer one again before a
// program listens on it.
var returnedAddrs sync.Map

// freeAddr returns an address of a host on which nothing listens and which it has not returned before. It returns
// an empty string if it can't listen on the host. host is an IP address with port 0.
func freeAddr(host string) string {
	for {
		listener, err := net.Listen("tcp", host)
		if err != nil {
			return ""
		}
		listener.Close() //nolint:errcheck // only its address is needed
		addr := listener.Addr().String()
		_, taken := returnedAddrs.LoadOrStore(addr, true)
		if !taken {
			return addr
		}
	}
}

// relayFaults is the fault script for the connections to a cache behind a relay.
const relayFaults = `c chance 0.1 : delay 5ms jitter 10ms
c up chance 0.03 byte 300 : reset
c chance 0.03 : pieces 50 for 500ms
c down chance 0.02 byte 5000 : halfclose
`

// startRelay starts a relay in front of a server if it is an odd-numbered cache, and does nothing otherwise. The
// seed of the relay's fault script is the run's seed.
func (r *run) startRelay(s *server) error {
	if s.kind != "std" || len(r.caches)%2 == 0 {
		return nil
	}
	script, err := fault.Parse(fmt.Sprintf("seed %d\nlink c listen %s to %s\n%s",
		r.seed, r.options.LoopbackAddr(relayHost), s.addr, relayFaults))
	if err != nil {
		return err
	}
	cacheRelay, err := relay.Start(script, func(f fault.Firing) { r.history.Logf("relay", "%s %v", s.id, f) })
	if err != nil {
		return err
	}
	r.relays = append(r.relays, cacheRelay)
	s.relayAddr = cacheRelay.Addr("c").String()
	return nil
}

// stop stops all processes, servers and relays that may still run.
func (r *run) stop() {
	for _, p := range r.fleet {
		if p.cmd != nil && p.cmd.Process != nil {
			p.cmd.Process.Kill() //nolint:errcheck // it may have exited
		}
		if p.socket != nil {
			p.socket.Close() //nolint:errcheck // no process uses it any more
		}
	}
	for _, s := range r.servers() {
		if s != nil {
			s.crash()
		}
	}
	for _, cacheRelay := range r.relays {
		cacheRelay.Close()
	}
	r.coordinator.stop()
}
