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

// faultyAddr is a relay before an address.
type faultyAddr struct {
	relay *relay.Relay
	mu    sync.Mutex
	fired []string // under mu
}

// Addr is the address of the relay.
func (b *faultyAddr) Addr() net.Addr { return b.relay.Addr("c") }

// log returns the faults that have fired, by connection and direction.
func (b *faultyAddr) log() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := slices.Clone(b.fired)
	slices.Sort(list)
	return strings.Join(list, "\n")
}

// newFaultyAddr starts a relay to an address with rules for the link c.
func newFaultyAddr(t *testing.T, target string, rules ...string) *faultyAddr {
	t.Helper()
	script, err := fault.Parse(fmt.Sprintf("seed 3\nlink c listen 127.0.0.1:0 to %s\n%s", target, strings.Join(rules, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	b := &faultyAddr{}
	if b.relay, err = relay.Start(script, func(f fault.Firing) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.fired = append(b.fired, f.String())
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.relay.Close)
	return b
}
