package soak

import (
	"sync"
	"time"

	"cloverdoor/internal/relay"
)

// Options say what is run.
type Options struct {
	Program      string   // test binary that serves as the proxy
	Environment  []string // that makes it do so
	ClockOffset  string   // environment variable by which its clock is wrong
	FailingCalls string   // environment variable by which its system calls fail, by a seed
	Host         func(int) string
	Fleet        int
	Duration     time.Duration
	ConfigDir    string   // for the configurations
	ReportDir    string   // folder for what is kept of violations; empty: nothing is
	Kinds        []string // of troubles; empty: all
	Shrink       bool     // look for the least schedule that breaks the same rule
}

// Result is what one seed brought.
type Result struct {
	Seed         uint64
	Schedule     []Fault
	Violations   []Violation
	Requests     int
	Served       int
	Incarnations int // programs that were started
}

// run is one run under way.
type run struct {
	options     Options
	seed        uint64
	limits      Limits
	h           *History
	coordinator *coordinator
	caches      []*server
	parent      *server
	origin      *server
	fleet       []*process
	relays      []*relay.Relay
	failure     chan error
	over        chan struct{}
}

// Run plays one seed and checks what was seen.
func Run(seed uint64, o Options) (Result, error) {
	kinds := o.Kinds
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	schedule := Schedule(seed, o.Duration, o.Fleet, cacheCount, kinds)
	result, err := play(seed, o, schedule)
	if err != nil || len(result.Violations) == 0 || !o.Shrink {
		return result, err
	}
	return result, shrink(seed, o, result)
}

func play(seed uint64, o Options, schedule []Fault) (Result, error) {
	limits := Limits{MemoryKB: 64 << 10, Descriptors: 256, DrainGrace: 500 * time.Millisecond, PurgeGrace: 300 * time.Millisecond,
		ClearedWithin: 6 * time.Second, OverloadMultiple: 2, SlowStartCapacity: 0.1, LinkTransfers: cacheWeight, TransferTime: bodySize * time.Second / flowBytes,
		OverloadWindow: time.Second, SlowStartDuration: 4 * time.Second, MaxDeadline: 3 * time.Second, DeduplicationWindow: keyWindow}
	r := &run{options: o, seed: seed, limits: limits, h: NewHistory(limits), failure: make(chan error, 100), over: make(chan struct{})}
	defer r.stop()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	r.playAll(schedule)
	select {
	case err := <-r.failure:
		return Result{}, err
	default:
	}
	result := Result{Seed: seed, Schedule: schedule, Violations: Check(r.h), Requests: len(r.h.Requests), Incarnations: len(r.h.Incarnations)}
	for _, q := range r.h.Requests {
		if len(q.Answers) > 0 && q.Answers[0].Status == "200" {
			result.Served++
		}
	}
	if len(result.Violations) > 0 && o.ReportDir != "" {
		return result, r.writeReport(result)
	}
	return result, nil
}

// recordFailure takes note of a failure of the soak itself.
func (r *run) recordFailure(err error) {
	if err != nil {
		r.failure <- err
	}
}

// listed is where proxies find the server.
func (s *server) listed() string {
	if s.relayAddr != "" {
		return s.relayAddr
	}
	return s.addr
}

// playAll plays the schedule, and lets what is open come to its end.
func (r *run) playAll(schedule []Fault) {
	var clients, troubles sync.WaitGroup
	stopAsking := make(chan struct{})
	for _, p := range r.fleet {
		d := newProxyClients(p, r.seed, meanRequestInterval)
		clients.Go(func() { d.run(stopAsking) })
	}
	troubles.Go(func() { r.purgeContinuously(stopAsking) })
	troubles.Go(func() { r.measure(stopAsking) })
	defer close(r.over)
	r.h.watchLag(r.over)
	for _, t := range schedule {
		troubles.Go(func() {
			time.Sleep(max(0, t.At-r.h.Now()))
			r.inject(t)
		})
	}
	time.Sleep(max(0, r.options.Duration-quietEnd-r.h.Now()))
	close(stopAsking)
	clients.Wait()
	troubles.Wait()
	time.Sleep(quietEnd)
	for _, p := range r.fleet { // an ordered end tells whether anything was left open
		troubles.Go(p.term)
	}
	troubles.Wait()
}

func (r *run) measure(over <-chan struct{}) {
	for {
		for _, p := range r.fleet {
			p.measure()
		}
		select {
		case <-over:
			return
		case <-time.After(measureInterval):
		}
	}
}
