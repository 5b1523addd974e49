package main

import (
	"cloverdoor/internal/fault"
	"cloverdoor/internal/relay"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
)

// faultyAddr is a relay before an address. It stands in for a listener wherever only its address is asked for.
type faultyAddr struct {
	net.Listener
	relay *relay.Relay
	mu    sync.Mutex
	fired []string
}

func (b *faultyAddr) Addr() net.Addr { return b.relay.Addr("c") }

// log returns the faults that have fired, by connection and direction.
func (b *faultyAddr) log() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := slices.Clone(b.fired)
	slices.Sort(list)
	return strings.Join(list, "\n")
}

// newFaultyAddr starts a relay to an address that breaks traffic by rules, each for the link c.
func newFaultyAddr(t *testing.T, target string, rules ...string) *faultyAddr {
	t.Helper()
	script, err := fault.Parse(fmt.Sprintf("seed 3\nlink c listen 127.0.0.1:0 to %s\n%s", target, strings.Join(rules, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	b := &faultyAddr{}
	if b.relay, err = relay.Start(script, func(e fault.Firing) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.fired = append(b.fired, e.String())
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.relay.Close)
	return b
}
