// Package relay relays TCP connections on loopback and carries out the faults of a script on them.
//
// One goroutine accepts the connections of a link. Each direction of a connection has one goroutine that reads and
// another that writes. The channel between them is bounded, so that a slow receiver holds up only its own
// connection. A relayedConn owns both sockets of its connection and closes them once. A linkListener owns its
// listener and the connections that fill its accept queue. Close waits for all goroutines.
package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"cloverdoor/internal/fault"
)

// Relay listens on the links of a script, relays their connections and carries out the script's faults.
type Relay struct {
	script     *fault.Script
	record     func(fault.Firing)
	startTime  time.Time
	ctx        context.Context // ends when Close is called
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	listeners  []*linkListener
	recordMu   sync.Mutex // serializes the calls of record
}

// Start starts a relay that listens on every link of a script. The relay calls record for each fault that fires, one
// call at a time. If Start fails, it leaves nothing open.
func Start(script *fault.Script, record func(fault.Firing)) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{script: script, record: record, startTime: time.Now(), ctx: ctx, cancel: cancel}
	for _, link := range script.Links {
		l, err := r.openLink(link)
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("link %s: %w", link.Name, err)
		}
		r.listeners = append(r.listeners, l)
	}
	for _, l := range r.listeners {
		r.goroutines.Go(l.serve)
	}
	return r, nil
}

// Addr returns the address that a link listens on, with the port that the system chose if the script says 0. It
// returns nil for an unknown link.
func (r *Relay) Addr(link string) net.Addr {
	for _, l := range r.listeners {
		if l.link.Name == link {
			return l.addr
		}
	}
	return nil
}

// Close closes all links and connections, and waits for their goroutines.
func (r *Relay) Close() {
	r.cancel()
	for _, l := range r.listeners {
		l.close()
	}
	r.goroutines.Wait()
}

// now returns the time since Start, to which the times of scripts and plans refer.
func (r *Relay) now() time.Duration { return time.Since(r.startTime) }

func (r *Relay) recordAll(firings []fault.Firing) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	for _, f := range firings {
		r.record(f)
	}
}

// runAt runs f in a goroutine once due has passed since Start, unless ctx ends first.
func (r *Relay) runAt(ctx context.Context, due time.Duration, f func()) {
	r.goroutines.Go(func() {
		if r.sleepUntil(ctx, due) {
			f()
		}
	})
}

// sleepUntil waits until due has passed since Start. It reports false if ctx ends first.
func (r *Relay) sleepUntil(ctx context.Context, due time.Duration) bool {
	wait := due - r.now()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
