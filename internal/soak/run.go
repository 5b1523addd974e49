package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cloverdoor/internal/fault"
	"cloverdoor/internal/relay"
)

const (
	reloadSignal        = syscall.SIGHUP
	flowBytes           = 200_000 // a second of one transfer: an object takes 50 ms
	cacheWeight         = 3.0     // transfers
	cacheCount          = 4
	keyWindow           = 400 * time.Millisecond
	meanPurgeInterval   = 400 * time.Millisecond
	purgeDelay          = 40 * time.Millisecond // until the coordinator has it
	measureInterval     = 500 * time.Millisecond
	meanRequestInterval = 80 * time.Millisecond // of each proxy's clients, in the mean
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

// shrink leaves out one trouble after another as long as the first rule that was broken is still broken, and keeps the least
// schedule. Runs differ in their timing: what does not show again may all the same be needed.
func shrink(seed uint64, o Options, found Result) error {
	least, rule := found.Schedule, found.Violations[0].Rule
	o.Shrink = false
	keep := o.ReportDir
	o.ReportDir = ""
	for i := 0; i < len(least); {
		without := slices.Delete(slices.Clone(least), i, i+1)
		result, err := play(seed, o, without)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(result.Violations, func(v Violation) bool { return v.Rule == rule }) {
			least = without
		} else {
			i++
		}
	}
	if keep == "" {
		return nil
	}
	path := filepath.Join(keep, fmt.Sprintf("seed-%d", seed), "least.txt")
	return os.WriteFile(path, []byte(rule+"\n"+formatSchedule(least)), 0o644)
}

// recordFailure takes note of a failure of the soak itself.
func (r *run) recordFailure(err error) {
	if err != nil {
		r.failure <- err
	}
}

// start starts all that takes part.
func (r *run) start() (err error) {
	serial := &sequence{}
	r.coordinator = newCoordinator(r.h)
	start := func(id, kind, zone string) *server {
		if err != nil {
			return nil
		}
		var s *server
		if s, err = newServer(r.h, id, kind, zone, r.options.Host(1), r.seed+uint64(serial.next()), serial); err == nil {
			err = r.relayTo(s)
		}
		return s
	}
	for i := range cacheCount {
		r.caches = append(r.caches, start(fmt.Sprintf("cache-%d", i), "std", "edge"))
	}
	r.parent, r.origin = start("parent", "parent", "hub"), start("origin", "origin", "hub")
	if err != nil {
		return err
	}
	var entries []string
	first := &WatchEvent{PurgedGroup: -1}
	for _, s := range r.servers() {
		entries = append(entries, s.entry())
		first.Serving = append(first.Serving, s.id)
	}
	r.coordinator.publish(first, `{"index":%d,"endpoints":{"version":1,"full":true,"servers":[`+strings.Join(entries, ",")+`]}}`)
	for i := range r.options.Fleet {
		p := &process{r: r, number: i, config: filepath.Join(r.options.ConfigDir, fmt.Sprintf("proxy-%d.json", i)),
			settings: settingsFor(i, r.options.Fleet, true)}
		if err := r.coordinator.serveProxy(i, r.options.Host(2)); err != nil {
			return err
		}
		if p.addr, p.admin, err = freeAddr(r.options.Host(10+i)), freeAddr(r.options.Host(10+i)), nil; p.addr == "" || p.admin == "" {
			return fmt.Errorf("no free address for proxy %d", i)
		}
		if i%2 == 1 {
			if err := p.holdSocket(); err != nil {
				return err
			}
		}
		r.fleet = append(r.fleet, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) servers() []*server { return append(slices.Clone(r.caches), r.parent, r.origin) }

// handedOut are the addresses that freeAddr has handed out: the system may offer one again before it is opened.
var handedOut sync.Map

// freeAddr finds a port of a host that nothing uses, and that was not handed out before.
func freeAddr(host string) string {
	for {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			return ""
		}
		ln.Close() //nolint:errcheck // it listens no more in any case
		if _, taken := handedOut.LoadOrStore(ln.Addr().String(), true); !taken {
			return ln.Addr().String()
		}
	}
}

// relayTo puts a relay before every second cache, which breaks some connections by the seed.
func (r *run) relayTo(s *server) error {
	if s.kind != "std" || len(r.caches)%2 == 0 {
		return nil
	}
	script, err := fault.Parse(fmt.Sprintf("seed %d\nlink c listen %s to %s\n"+
		"c chance 0.1 : delay 5ms jitter 10ms\nc up chance 0.03 byte 300 : reset\nc chance 0.03 : pieces 50 for 500ms\n"+
		"c down chance 0.02 byte 5000 : halfclose\n", r.seed, r.options.Host(3), s.addr))
	if err != nil {
		return err
	}
	between, err := relay.Start(script, func(e fault.Firing) { r.h.Note("relay", "%s %v", s.id, e) })
	if err != nil {
		return err
	}
	r.relays = append(r.relays, between)
	s.relayAddr = between.Addr("c").String()
	return nil
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

// purgeContinuously purges objects all the time.
func (r *run) purgeContinuously(over <-chan struct{}) {
	rng := rand.New(rand.NewPCG(r.seed, 13))
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanPurgeInterval))):
			r.purge(fmt.Sprintf("%016x", rng.IntN(objects)), -1)
		}
	}
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

// stop stops all that may still run.
func (r *run) stop() {
	for _, p := range r.fleet {
		if p.cmd != nil && p.cmd.Process != nil {
			p.cmd.Process.Kill() //nolint:errcheck // it may have ended
		}
		if p.socket != nil {
			p.socket.Close() //nolint:errcheck // nothing comes any more
		}
	}
	for _, s := range r.servers() {
		if s != nil {
			s.crash()
		}
	}
	for _, between := range r.relays {
		between.Close()
	}
	r.coordinator.mu.Lock()
	defer r.coordinator.mu.Unlock()
	for _, p := range r.coordinator.watchServers {
		if p.listener != nil {
			p.listener.Close() //nolint:errcheck // it listens no more in any case
		}
	}
}

// writeReport writes the schedule, and the timeline around each violation.
func (r *run) writeReport(result Result) error {
	folder := filepath.Join(r.options.ReportDir, fmt.Sprintf("seed-%d", result.Seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d proxies, %v\n\n%s\n", result.Seed, r.options.Fleet, r.options.Duration, formatSchedule(result.Schedule))
	for _, v := range result.Violations {
		fmt.Fprintf(&b, "\n%v\n%s", v, r.h.TimelineAround(v.At, 4*time.Second, v.Words...))
	}
	return os.WriteFile(filepath.Join(folder, "violations.txt"), []byte(b.String()), 0o644)
}

// settingsFor are the settings of one proxy.
func settingsFor(index, fleet int, secondCopies bool) map[string]any {
	class := func(name, effect string, gain float64) map[string]any {
		return map[string]any{"name": name, "semantics": effect, "promise-us": 500000, "deadline-us": 2000000, "gain": gain, "aim-stretch": 2.0}
	}
	keyed := class(classKeyed, "idempotency_key", 1)
	keyed["key-scope"], keyed["window-us"] = "all", keyWindow.Microseconds()
	return map[string]any{
		"areas": []string{"hub", "edge"}, "host-types": []string{"std", "parent", "origin"}, "zone": 1,
		"group-size": fleet, "index": index, "weight-source": "nominal",
		"classes": []any{class(classRead, "read_like", 2), class(classWrite, "non_idempotent", 3), keyed},
		"domain": map[string]any{"direct": true, "root-kind": 2, "upper-kind": 1, "can-join": true, "pass-on": []bool{false, true, false},
			"cleared-within-us": 6000000, "purge-slack-us": 300000, "peers-fill": "location", "one-flow-kb-per-s": flowBytes / 1000,
			"count-by-zone": []int{0, fleet}, "attached-to": []int{0, 0}, "pipe-kb-per-s": []float64{0, 4000},
			"parent-floor": 0.5, "upper-cold-us": 1, "parent-limit-factor": 2},
		"limits": map[string]any{"connect-timeout-us": 400000, "conn-idle-us": 15000000, "streams-per-conn": 32,
			"max-attempts": 8, "may-cancel": true, "second-copies": secondCopies, "max-retry-after-us": 500000},
		"rules": map[string]any{"start-capacity": 0.1, "warm-within-us": 4000000, "fall-multiple": 2, "fall-us": 1000000},
	}
}
