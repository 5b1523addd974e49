package soak

import (
	"sync"
	"sync/atomic"
	"time"

	"cloverdoor/internal/relay"
)

const (
	cacheCount          = 4
	measureInterval     = 500 * time.Millisecond // between two looks at memory and descriptors
	meanRequestInterval = 80 * time.Millisecond  // of the clients of one proxy, exponentially distributed
	surgeFactor         = 4
	surgeDuration       = slowStartDuration / 2
	maxRecordedFailures = 100
)

// Options say what is run.
type Options struct {
	Program      string                // path of the test binary that serves as the proxy
	Environment  []string              // that makes it serve
	ClockOffset  string                // environment variable with the error of its clock
	FailingCalls string                // environment variable with the seed by which its system calls fail
	Host         func(host int) string // the address of a host on loopback, with port 0
	Fleet        int                   // proxies
	Duration     time.Duration         // of the run
	ConfigDir    string                // for the proxies' configurations
	ReportDir    string                // for reports on violations; empty: none
	Kinds        []string              // of faults; empty: all
	Shrink       bool                  // look for a shorter schedule that breaks the same rule
}

// Result is the outcome of one seed.
type Result struct {
	Seed         uint64
	Schedule     []Fault
	Violations   []Violation
	Requests     int
	Served       int // requests with status 200
	Incarnations int // processes that were started
}

// run is one run.
type run struct {
	options     Options
	seed        uint64
	limits      Limits
	history     *History
	coordinator *coordinator
	caches      []*server
	parent      *server
	origin      *server
	fleet       []*process
	relays      []*relay.Relay
	// coordinatorModeMu is held while the coordinator behaves badly to the proxies whose number has the remainder.
	coordinatorModeMu [2]sync.Mutex

	surgeUntil atomic.Int64  // time since the start until which clients make more requests
	failures   chan error    // of the soak itself
	ended      chan struct{} // closed when the schedule has ended
}

// Run plays the schedule of one seed and checks the history. Its error is a failure of the soak itself.
func Run(seed uint64, o Options) (Result, error) {
	kinds := o.Kinds
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	schedule := Schedule(seed, o.Duration, o.Fleet, cacheCount, kinds)
	result, err := runSchedule(seed, o, schedule)
	if err != nil || len(result.Violations) == 0 || !o.Shrink {
		return result, err
	}
	return result, shrink(seed, o, result)
}

// runSchedule runs a fleet under a schedule and checks the history.
func runSchedule(seed uint64, o Options, schedule []Fault) (Result, error) {
	limits := fleetLimits()
	r := &run{
		options: o, seed: seed, limits: limits, history: NewHistory(limits),
		failures: make(chan error, maxRecordedFailures), ended: make(chan struct{}),
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	r.applySchedule(schedule)
	if err := r.firstFailure(); err != nil {
		return Result{}, err
	}
	result := r.result(schedule)
	if len(result.Violations) > 0 && o.ReportDir != "" {
		return result, r.writeReport(result)
	}
	return result, nil
}

func (r *run) result(schedule []Fault) Result {
	result := Result{
		Seed: r.seed, Schedule: schedule, Violations: Check(r.history), Requests: len(r.history.Requests), Incarnations: len(r.history.Incarnations),
	}
	for _, req := range r.history.Requests {
		if len(req.Answers) > 0 && req.Answers[0].Status == "200" {
			result.Served++
		}
	}
	return result
}

// applySchedule carries out a schedule beside the clients' load, waits for the last answers and stops the
// proxies.
func (r *run) applySchedule(schedule []Fault) {
	var clients, background sync.WaitGroup
	quiet := make(chan struct{})
	for _, p := range r.fleet {
		c := newProxyClients(p, r.seed)
		clients.Go(func() { c.run(quiet) })
	}
	background.Go(func() { r.purgeContinuously(quiet) })
	background.Go(func() { r.measure(quiet) })
	defer close(r.ended)
	r.history.recordSchedulingDelays(r.ended)
	for _, f := range schedule {
		background.Go(func() {
			time.Sleep(f.At - r.history.Now())
			r.inject(f)
		})
	}
	time.Sleep(r.options.Duration - quietEnd - r.history.Now())
	close(quiet)
	clients.Wait()
	background.Wait()
	time.Sleep(quietEnd)
	r.terminateFleet()
}

// terminateFleet stops all proxies by SIGTERM, which shows whether they had left anything open.
func (r *run) terminateFleet() {
	var proxies sync.WaitGroup
	for _, p := range r.fleet {
		proxies.Go(func() { p.terminate(requestsAfterSigterm) })
	}
	proxies.Wait()
}

// surge has the clients make surgeFactor times the requests for a while, so that the load on a server in slow start
// is over twice its budget.
func (r *run) surge() {
	r.surgeUntil.Store(int64(r.history.Now() + surgeDuration))
}

// requestInterval is the mean time between the requests of one proxy's clients at present.
func (r *run) requestInterval() time.Duration {
	if int64(r.history.Now()) < r.surgeUntil.Load() {
		return meanRequestInterval / surgeFactor
	}
	return meanRequestInterval
}

// measure records the memory and the descriptors of all proxies until over is closed.
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

// recordFailure records a failure of the soak itself, which makes the run void.
func (r *run) recordFailure(err error) {
	if err != nil {
		r.failures <- err
	}
}

func (r *run) firstFailure() error {
	select {
	case err := <-r.failures:
		return err
	default:
		return nil
	}
}
