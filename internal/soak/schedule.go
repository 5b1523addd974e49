package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Target   int // of the fleet, or of the caches
}

// String is the trouble as the schedule is kept.
func (t Fault) String() string {
	return fmt.Sprintf("%.3f for %.3f: %s %d", t.At.Seconds(), t.Duration.Seconds(), t.Kind, t.Target)
}

// The kinds of troubles, by what they hit.
var (
	processFaults = []string{"freeze", "term", "kill", "reload", "broken-reload", "drain-order", "deaf-log", "wrong-clock", "failing-calls",
		"hand-over", "crowd"}
	cacheFaults       = []string{"leave", "return", "crash", "hang", "slow", "spoil", "overload", "reset", "replace", "retire"}
	coordinatorFaults = []string{"down", "silent", "slow-lines", "unknown-state", "unreadable-line", "unreadable-purge", "unknown-event"}
	otherFaults       = []string{"purge-group", "purge-storm", "origin-hang", "origin-reset"}
)

const (
	quietStart        = time.Second
	quietEnd          = 3 * time.Second
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 2500 * time.Millisecond
	retiredFor        = 9 * time.Second
	meanFaultInterval = 550 * time.Millisecond // in the mean: two or three overlap
)

// Kinds are all kinds of troubles.
func Kinds() []string {
	return slices.Concat(processFaults, cacheFaults, coordinatorFaults, otherFaults)
}

// Schedule draws the troubles of a run from the given kinds.
func Schedule(seed uint64, length time.Duration, fleet, caches int, kinds []string) (list []Fault) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for at := quietStart; at < length-quietEnd; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		t := Fault{Kind: kinds[rng.IntN(len(kinds))], At: at, Duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))}
		t.Target = rng.IntN(fleet)
		if slices.Contains(cacheFaults, t.Kind) {
			t.Target = rng.IntN(caches)
		}
		list = append(list, t)
	}
	return list
}

// inject carries out one trouble, and takes it back after its length.
func (r *run) inject(t Fault) {
	r.h.Note("trouble", "%v", t)
	switch {
	case slices.Contains(processFaults, t.Kind):
		r.injectProcessFault(t)
	case slices.Contains(cacheFaults, t.Kind):
		r.injectCacheFault(t)
	case slices.Contains(coordinatorFaults, t.Kind):
		r.injectCoordinatorFault(t)
	default:
		r.injectOtherFault(t)
	}
	r.h.Note("trouble", "over: %s %d", t.Kind, t.Target)
}

func (r *run) injectProcessFault(t Fault) {
	p := r.fleet[t.Target]
	if t.Kind == "crowd" { // beside any other
		p.connectIdleClients(t.Duration)
		return
	}
	p.faultMu.Lock() // one trouble of a process after another; those of others overlap
	defer p.faultMu.Unlock()
	again := func(environment ...string) {
		p.environment = environment
		r.recordFailure(p.start())
	}
	switch t.Kind {
	case "freeze":
		p.pause(t.Duration)
	case "term":
		p.term()
		again()
	case "kill":
		p.kill()
		again()
	case "reload":
		p.awaitSettled()
		p.settings = settingsFor(p.number, r.options.Fleet, t.At%2 == 0)
		_, err := p.writeConfig()
		r.recordFailure(err)
		p.signal(reloadSignal)
	case "broken-reload":
		p.awaitSettled()
		r.recordFailure(p.truncateConfig())
		p.signal(reloadSignal)
	case "hand-over":
		if p.socket == nil {
			return
		}
		p.environment = nil
		r.recordFailure(p.replace())
	case "drain-order":
		p.drain(t.Duration)
	case "deaf-log":
		p.term()
		p.logUnread = true
		again()
	case "wrong-clock":
		p.term()
		by := []string{"1h", "-1h", "3s", "-3s"}[int(t.Duration)%4]
		again(r.options.ClockOffset + "=" + by)
	case "failing-calls":
		p.term()
		again(fmt.Sprintf("%s=%d", r.options.FailingCalls, t.At))
	}
}

func (r *run) injectCacheFault(t Fault) {
	s := r.caches[t.Target]
	switch end := r.h.Now() + t.Duration; t.Kind {
	case "hang":
		s.setUntil(&s.hungUntil, end)
	case "slow":
		s.setUntil(&s.slowUntil, end)
	case "spoil":
		s.setUntil(&s.malformUntil, end)
	case "overload":
		s.setUntil(&s.overloadUntil, end)
	case "reset":
		s.resetConns(0.5)
	default:
		s.faultMu.Lock()
		defer s.faultMu.Unlock()
		r.restartCache(s, t)
	}
}

// restartCache has a cache go and come back: drained or not, told or not, under its own name.
func (r *run) restartCache(s *server, t Fault) {
	if t.Kind != "crash" {
		r.announceState(s, "DRAINING")
		time.Sleep(t.Duration)
	}
	if t.Kind == "retire" { // for longer than news may take
		time.Sleep(retiredFor)
	}
	if t.Kind == "leave" || t.Kind == "replace" {
		r.announceState(s, "DELETED")
		time.Sleep(t.Duration / 2)
	}
	if t.Kind == "crash" || t.Kind == "replace" {
		s.crash()
		time.Sleep(t.Duration / 2)
		r.recordFailure(s.listen())
		s.mu.Lock()
		s.started = time.Now()
		s.mu.Unlock()
	}
	r.announceState(s, "SERVING")
}

func (r *run) injectCoordinatorFault(t Fault) {
	switch t.Kind {
	case "unknown-state":
		s := r.caches[t.Target%len(r.caches)]
		s.faultMu.Lock()
		defer s.faultMu.Unlock()
		r.announceState(s, "RESTING")
		time.Sleep(t.Duration)
		r.announceState(s, "SERVING")
	case "unreadable-line":
		r.coordinator.publish(&WatchEvent{PurgedGroup: -1}, "{event %d that nobody can read")
	case "unreadable-purge":
		r.coordinator.publish(&WatchEvent{PurgedGroup: -1}, `{"index":%d,"evict":{"everything":true}}`)
	case "unknown-event":
		r.coordinator.publish(&WatchEvent{PurgedGroup: -1}, `{"index":%d,"quota":{"share":0.5}}`)
	default:
		m := map[string]coordinatorMode{"down": modeDown, "silent": modeSilent, "slow-lines": modeSlow}[t.Kind]
		for i := range r.fleet {
			if i%2 == t.Target%2 {
				r.coordinator.setMode(i, m)
			}
		}
		length := 2 * t.Duration
		if m == modeSlow {
			length += slowLineTime
		}
		time.Sleep(length)
		for i := range r.fleet {
			if i%2 == t.Target%2 {
				r.coordinator.setMode(i, modeHealthy)
			}
		}
	}
}

func (r *run) injectOtherFault(t Fault) {
	switch t.Kind {
	case "purge-group":
		r.purge("", t.Target%groupsInUse)
	case "purge-storm":
		for i := range 10 {
			r.purge(fmt.Sprintf("%016x", (t.Target+i)%objects), -1)
			time.Sleep(t.Duration / 10)
		}
	case "origin-hang":
		r.origin.setUntil(&r.origin.hungUntil, r.h.Now()+t.Duration/2)
	case "origin-reset":
		r.origin.resetConns(0.5)
	}
}

// announceState tells everybody the state of a server.
func (r *run) announceState(s *server, state string) {
	s.mu.Lock()
	s.state = state
	entry := s.entry()
	started := s.started
	s.mu.Unlock()
	e := &WatchEvent{PurgedGroup: -1}
	if state == "SERVING" {
		e.Serving = []string{s.id}
	} else {
		e.Withdrawn = []string{s.id}
	}
	r.coordinator.publish(e, `{"index":%d,"endpoints":{"version":1,"full":false,"servers":[`+entry+`]}}`)
	if state == "SERVING" && !started.IsZero() {
		r.h.locked(func() {
			r.h.Starts = append(r.h.Starts, ServerStart{Server: s.id, At: started.Sub(r.h.start), EventIndex: e.Index})
		})
	}
}

// entry is the server's in the list.
func (s *server) entry() string {
	started := int64(0)
	if !s.started.IsZero() {
		started = s.started.UnixMilli()
	}
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":%q,"weight":%v,"started_ms":%d}`,
		s.id, s.listed(), s.zone, s.kind, s.state, float64(cacheWeight), started)
}

// purge makes older copies of an object, or of a group, void.
func (r *run) purge(object string, group int) {
	moment := time.Now()
	e := &WatchEvent{PurgedObject: object, PurgedGroup: group, PurgedBefore: moment}
	names := fmt.Sprintf(`"ref":%q`, object)
	if object == "" {
		names = fmt.Sprintf(`"shard":%d`, group)
	}
	time.Sleep(purgeDelay)
	r.coordinator.publish(e, `{"index":%d,"evict":{`+names+fmt.Sprintf(`,"unix_ms":%d}}`, moment.UnixMilli()))
	matches := func(name string) bool {
		var n int
		fmt.Sscanf(name, "%x", &n) //nolint:errcheck // all objects are numbers
		return name == object || object == "" && n%groupsInUse == group
	}
	for _, s := range append(slices.Clone(r.caches), r.parent) {
		s.purge(matches, moment)
	}
}

// formatSchedule lists a schedule.
func formatSchedule(list []Fault) string {
	var b strings.Builder
	for _, t := range list {
		fmt.Fprintln(&b, t)
	}
	return b.String()
}
