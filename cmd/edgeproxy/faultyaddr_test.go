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

// faultyRelay is a relay before an address.
type faultyRelay struct {
	relay *relay.Relay
	mu    sync.Mutex
	fired []string // under mu
}

// Addr is the address of the relay.
func (b *faultyRelay) Addr() net.Addr { return b.relay.Addr("c") }

// log returns the faults that have fired, by connection and direction.
func (b *faultyRelay) log() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := slices.Clone(b.fired)
	slices.Sort(list)
	return strings.Join(list, "\n")
}

// newFaultyRelay starts a relay to an address with rules for the link c.
func newFaultyRelay(t *testing.T, target string, rules ...string) *faultyRelay {
	t.Helper()
	script, err := fault.Parse(fmt.Sprintf("seed 3\nlink c listen 127.0.0.1:0 to %s\n%s", target, strings.Join(rules, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	b := &faultyRelay{}
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
