package soak

import (
	"sync"
	"sync/atomic"
	"time"

	"cloverdoor/internal/relay"
)

const (
	cacheCount          = 4
	measureInterval     = 500 * time.Millisecond // between two measurements of memory and descriptors
	meanRequestInterval = 80 * time.Millisecond  // between requests of one proxy's clients, exponentially distributed
	surgeFactor         = 4
	surgeDuration       = slowStartDuration / 2
	maxRecordedFailures = 100
)

// Options configures a run.
type Options struct {
	Program             string                // path of the test binary that runs as the proxy
	ProgramEnv          []string              // NAME=VALUE variables that make the test binary run as the proxy
	ClockOffsetEnv      string                // name of the environment variable for the offset of the proxy's clock
	SyscallFaultSeedEnv string                // name of the variable that holds the seed of random system call failures
	LoopbackAddr        func(host int) string // returns the address of a host on loopback, with port 0
	FleetSize           int                   // number of proxies
	Duration            time.Duration         // of the run
	ConfigDir           string                // directory for the proxies' configurations
	ReportDir           string                // directory for reports on violations; empty: none are written
	FaultKinds          []string              // kinds of faults to draw from; empty: all
	Shrink              bool                  // after a violation, look for a shorter schedule that breaks the same rule
}

// Result is the outcome of the run of one seed.
type Result struct {
	Seed         uint64
	Schedule     []Fault
	Violations   []Violation
	Requests     int
	Served       int // requests answered with status 200
	Incarnations int // proxy processes started
}

// run is one run of a fleet with its servers, coordinator and clients.
type run struct {
	options      Options
	seed         uint64
	limits       Limits
	history      *History
	coordinator  *coordinator
	caches       []*server
	parent       *server
	origin       *server
	fleet        []*process
	habitClients sync.WaitGroup // those that startHabits has started
	relays       []*relay.Relay
	// coordinatorModeMu has one mutex for the proxies with even and one for those with odd numbers, by number modulo
	// 2. It is held while the coordinator is in a faulty mode for these proxies.
	coordinatorModeMu [2]sync.Mutex

	surgeUntil atomic.Int64  // end of the latest surge, in nanoseconds since the start of the run
	failures   chan error    // errors of the soak test itself
	ended      chan struct{} // closed when the schedule has ended
}

// Run runs a fleet under the schedule that is drawn from a seed, checks the history and returns the violations. An error
// means that the soak test itself failed, so that the run says nothing about the proxies.
func Run(seed uint64, o Options) (Result, error) {
	kinds := o.FaultKinds
	if len(kinds) == 0 {
		kinds = FaultKinds()
	}
	schedule := Schedule(seed, o.Duration, o.FleetSize, cacheCount, kinds)
	result, err := runSchedule(seed, o, schedule)
	if err != nil || len(result.Violations) == 0 || !o.Shrink {
		return result, err
	}
	return result, shrink(seed, o, result)
}

// runSchedule runs a fleet under a schedule, checks the history and writes a report if there are violations.
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

// result checks the history and sums up the run.
func (r *run) result(schedule []Fault) Result {
	result := Result{
		Seed: r.seed, Schedule: schedule, Violations: Check(r.history),
		Requests: len(r.history.Requests), Incarnations: len(r.history.Incarnations),
	}
	for _, req := range r.history.Requests {
		if len(req.Answers) > 0 && req.Answers[0].Status == "200" {
			result.Served++
		}
	}
	return result
}

// applySchedule injects the faults of a schedule while clients and purges load the fleet, waits for the last answers
// and stops the proxies.
func (r *run) applySchedule(schedule []Fault) {
	var clients, background sync.WaitGroup
	stopLoad := make(chan struct{})
	for _, p := range r.fleet {
		c := newProxyClients(p, r.seed)
		clients.Go(func() { c.run(stopLoad) })
	}
	background.Go(func() { r.purgeContinuously(stopLoad) })
	background.Go(func() { r.measure(stopLoad) })
	defer close(r.ended)
	r.history.recordSchedulingDelays(r.ended)
	for _, f := range schedule {
		background.Go(func() {
			time.Sleep(f.At - r.history.Now())
			r.inject(f)
		})
	}
	time.Sleep(r.options.Duration - quietEnd - r.history.Now())
	close(stopLoad)
	clients.Wait()
	background.Wait()
	time.Sleep(quietEnd)
	r.terminateFleet()
}

// terminateFleet stops all proxies by SIGTERM, while clients with habits use them. How they exit shows whether they had
// left anything open.
func (r *run) terminateFleet() {
	var proxies sync.WaitGroup
	for _, p := range r.fleet {
		proxies.Go(func() {
			r.startHabits(p, Fault{At: r.options.Duration + time.Duration(p.number)})
			p.terminate(requestTimeUntilExit)
		})
	}
	proxies.Wait()
	r.habitClients.Wait()
}

// surge raises the rate of the clients' requests by surgeFactor for surgeDuration, so that the load that a
// server in slow start could get exceeds twice its capacity at that time: the limit of checkSlowStart without
// its margin.
func (r *run) surge() {
	r.surgeUntil.Store(int64(r.history.Now() + surgeDuration))
}

// requestInterval returns the current mean time between the requests of one proxy's clients.
func (r *run) requestInterval() time.Duration {
	if int64(r.history.Now()) < r.surgeUntil.Load() {
		return meanRequestInterval / surgeFactor
	}
	return meanRequestInterval
}

// measure records the memory and the descriptors of all proxies until stop is closed.
func (r *run) measure(stop <-chan struct{}) {
	for {
		for _, p := range r.fleet {
			p.measure()
		}
		select {
		case <-stop:
			return
		case <-time.After(measureInterval):
		}
	}
}

// recordFailure records an error of the soak test itself, which makes the run invalid. It ignores nil.
func (r *run) recordFailure(err error) {
	if err != nil {
		r.failures <- err
	}
}

// firstFailure returns the first recorded failure, or nil if there is none.
func (r *run) firstFailure() error {
	select {
	case err := <-r.failures:
		return err
	default:
		return nil
	}
}
