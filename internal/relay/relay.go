// Package relay carries out a script of faults on TCP connections on loopback.
//
// One goroutine accepts the connections of a link. For each connection one goroutine a direction reads, and
// another one writes; the channel between them is bounded, so that a slow receiver holds up its own
// connection alone. Both ends of a connection belong to its relayedConn, which closes them once; a listener
// and the connections that fill its queue belong to its linkListener. Close waits for all goroutines.
package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"cloverdoor/internal/fault"
)

// Relay is a script that is being carried out.
type Relay struct {
	script     *fault.Script
	record     func(fault.Firing)
	start      time.Time
	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	listeners  []*linkListener
	recordMu   sync.Mutex // calls of record come one at a time
}

// Start listens on every link of a script. It calls record for each fault that fires, one call at a time.
// When it fails, it leaves nothing open.
func Start(script *fault.Script, record func(fault.Firing)) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{script: script, record: record, start: time.Now(), ctx: ctx, cancel: cancel}
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

// Addr is the address that a link listens on, with the port that the system chose where the script says 0. It
// is nil for an unknown link.
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

// now is the time since the start, by which scripts count.
func (r *Relay) now() time.Duration { return time.Since(r.start) }

func (r *Relay) recordAll(firings []fault.Firing) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	for _, f := range firings {
		r.record(f)
	}
}

// runAt runs f in a goroutine at a time since the start, unless ctx ends first.
func (r *Relay) runAt(ctx context.Context, due time.Duration, f func()) {
	r.goroutines.Go(func() {
		if r.sleepUntil(ctx, due) {
			f()
		}
	})
}

// sleepUntil waits for a time since the start. It reports false if ctx ended first.
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
