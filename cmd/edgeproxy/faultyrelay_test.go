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

// faultyRelay is a relay that injects faults into the connections to an address.
type faultyRelay struct {
	relay   *relay.Relay
	mu      sync.Mutex
	firings []string // guarded by mu
}

// Addr returns the address of the relay.
func (r *faultyRelay) Addr() net.Addr { return r.relay.Addr("c") }

// log returns the faults that have fired, one a line. The lines are sorted as text, so that the result does not depend
// on the order in which the faults fired.
func (r *faultyRelay) log() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := slices.Clone(r.firings)
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// newFaultyRelay starts a relay to an address with a script of fault rules. In the rules, the relay is the link "c".
func newFaultyRelay(t *testing.T, target string, rules ...string) *faultyRelay {
	t.Helper()
	script, err := fault.Parse(fmt.Sprintf("seed 3\nlink c listen 127.0.0.1:0 to %s\n%s", target, strings.Join(rules, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	r := &faultyRelay{}
	if r.relay, err = relay.Start(script, func(f fault.Firing) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.firings = append(r.firings, f.String())
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.relay.Close)
	return r
}
