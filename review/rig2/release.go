package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["release"] = release }

const (
	releaseServers  = 3200 // the pages' most
	releaseReplaced = releaseServers * 6 / 10
	releaseLength   = 7 * time.Second
	releaseOutage   = 8 * time.Second
)

// otherOffice is an entry for a cache of another office, to which this proxy sends nothing. Two generations of caches
// share the addresses.
func otherOffice(n int, state string, startedMillis int64) map[string]any {
	addr := net.IPv4(127, 9, byte(n%releaseServers/250), byte(n%250+1))
	return map[string]any{"id": fmt.Sprintf("s-%08x", 0x1000+n), "addr": addr.String() + ":7001", "zone": "edge-2",
		"kind": "estandar", "cell": 0, "state": state, "weight": 8, "started_ms": startedMillis}
}

// change is an event that changes one entry.
func change(version int, entry map[string]any) map[string]any {
	return map[string]any{"endpoints": map[string]any{"version": version, "full": false, "servers": []any{entry}}}
}

// release: discovery is down into a release in a large fleet. When it is back, the news must free no request of its
// answer.
func release(r *rig) (verdict, error) {
	servers, err := r.office(nil)
	if err != nil {
		return verdict{}, err
	}
	var entries []any
	for _, s := range servers {
		entries = append(entries, s.entry("SERVING"))
	}
	for n := range releaseServers - len(servers) {
		entries = append(entries, otherOffice(n, "SERVING", 0))
	}
	r.coordinator.publish(map[string]any{"endpoints": map[string]any{"version": 1, "full": true, "servers": entries}})
	set := settings()
	set["areas"] = []string{"costa", "edge-1", "edge-2"}
	p, err := r.startProxy("n1", proxyConfig{memoryMB: 192, sockets: 1024, settings: set})
	if err != nil {
		return verdict{}, err
	}
	usual := &usualClient{r: r, p: p}
	if r.trouble {
		time.AfterFunc(time.Second, func() { r.coordinator.goDown(releaseOutage) })
		time.AfterFunc(2*time.Second, func() { r.replaceServers() })
	}
	if err := usual.ask(16*time.Second, 40*time.Millisecond); err != nil {
		return verdict{}, err
	}
	return usual.judge(), nil
}

// replaceServers replaces caches of the other office by new ones at their addresses: the old one drains, the new one
// serves, the old one goes. Each of these is an event of its own.
func (r *rig) replaceServers() {
	began := time.Now()
	replaced := 0
	for replaced < releaseReplaced {
		due := min(releaseReplaced, int(float64(releaseReplaced)*time.Since(began).Seconds()/releaseLength.Seconds()))
		var events []map[string]any
		for ; replaced < due; replaced++ {
			events = append(events,
				change(len(events), otherOffice(replaced, "DRAINING", 0)),
				change(len(events), otherOffice(releaseServers+replaced, "SERVING", time.Now().UnixMilli())),
				change(len(events), otherOffice(replaced, "DELETED", 0)))
		}
		r.coordinator.add(events...)
		time.Sleep(20 * time.Millisecond)
	}
	r.logf("%d of %d caches were replaced, in %.1f s", replaced, releaseServers, time.Since(began).Seconds())
}
