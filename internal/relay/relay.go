// Package relay carries out a plan of faults on TCP connections on loopback. One goroutine reads each direction of a
// connection and one writes it; what lies between them is bounded, so that a stalled reader holds up its own connection
// alone.
package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"cloverdoor/internal/fault"
)

const (
	readBufferSize    = 16 << 10
	maxPendingOutputs = 32 // outputs of one direction that wait for their time, of readSize at most
	dialTimeout       = 5 * time.Second
)

// Relay is a script that is being carried out.
type Relay struct {
	script     *fault.Script
	record     func(fault.Firing)
	start      time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	listeners  []*linkListener
	recordMu   sync.Mutex // of record
}

// Start listens on every link of a script. Each fault that fires is recorded, one at a time. Nothing stays open when it
// fails.
func Start(script *fault.Script, record func(fault.Firing)) (*Relay, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{script: script, record: record, start: time.Now(), ctx: ctx, cancel: cancel}
	for _, link := range script.Links {
		g, err := r.openLink(link)
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("link %s: %w", link.Name, err)
		}
		r.listeners = append(r.listeners, g)
	}
	for _, g := range r.listeners {
		r.goroutines.Go(g.serve)
	}
	return r, nil
}

// Addr is where a link listens, also where the script left the port open.
func (r *Relay) Addr(link string) net.Addr {
	for _, g := range r.listeners {
		if g.link.Name == link {
			return g.addr
		}
	}
	return nil
}

// Close ends all links and connections, and waits for them.
func (r *Relay) Close() {
	r.cancel()
	for _, g := range r.listeners {
		g.close()
	}
	r.goroutines.Wait()
}

// now is the time since the start, by which scripts count.
func (r *Relay) now() time.Duration { return time.Since(r.start) }

func (r *Relay) recordAll(events []fault.Firing) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	for _, e := range events {
		r.record(e)
	}
}

// runAt runs f runAt a time since the start, unless the relay or ctx ends first.
func (r *Relay) runAt(ctx context.Context, due time.Duration, f func()) {
	r.goroutines.Go(func() {
		if r.sleepUntil(ctx, due) {
			f()
		}
	})
}

// sleepUntil waits until a time since the start, and says whether it came.
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
