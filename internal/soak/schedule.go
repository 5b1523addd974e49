package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Trouble is one thing that goes wrong.
type Trouble struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	Target int // of the fleet, or of the caches
}

// String is the trouble as the schedule is kept.
func (t Trouble) String() string {
	return fmt.Sprintf("%.3f for %.3f: %s %d", t.At.Seconds(), t.Length.Seconds(), t.Kind, t.Target)
}

// The kinds of troubles, by what they hit.
var (
	processTroubles = []string{"freeze", "term", "kill", "reload", "broken-reload", "drain-order", "deaf-log", "wrong-clock", "failing-calls",
		"hand-over", "crowd"}
	cacheTroubles = []string{"leave", "return", "crash", "hang", "slow", "spoil", "overload", "reset", "replace", "retire"}
	feedTroubles  = []string{"down", "silent", "slow-lines", "unknown-state", "unreadable-line", "unreadable-purge", "unknown-event"}
	otherTroubles = []string{"purge-group", "purge-storm", "origin-hang", "origin-reset"}
)

const (
	quietStart    = time.Second
	quietEnd      = 3 * time.Second
	leastTrouble  = 300 * time.Millisecond
	mostTrouble   = 2500 * time.Millisecond
	awayFor       = 9 * time.Second
	troublesEvery = 550 * time.Millisecond // in the mean: two or three overlap
)

// Kinds are all kinds of troubles.
func Kinds() []string {
	return slices.Concat(processTroubles, cacheTroubles, feedTroubles, otherTroubles)
}

// Schedule draws the troubles of a run from the given kinds.
func Schedule(seed uint64, length time.Duration, fleet, caches int, kinds []string) (list []Trouble) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for at := quietStart; at < length-quietEnd; at += time.Duration(rng.ExpFloat64() * float64(troublesEvery)) {
		t := Trouble{Kind: kinds[rng.IntN(len(kinds))], At: at, Length: leastTrouble + time.Duration(rng.Int64N(int64(mostTrouble-leastTrouble)))}
		t.Target = rng.IntN(fleet)
		if slices.Contains(cacheTroubles, t.Kind) {
			t.Target = rng.IntN(caches)
		}
		list = append(list, t)
	}
	return list
}

// play carries out one trouble, and takes it back after its length.
func (r *run) play(t Trouble) {
	r.h.Note("trouble", "%v", t)
	switch {
	case slices.Contains(processTroubles, t.Kind):
		r.playProcess(t)
	case slices.Contains(cacheTroubles, t.Kind):
		r.playCache(t)
	case slices.Contains(feedTroubles, t.Kind):
		r.playFeed(t)
	default:
		r.playOther(t)
	}
	r.h.Note("trouble", "over: %s %d", t.Kind, t.Target)
}

func (r *run) playProcess(t Trouble) {
	p := r.fleet[t.Target]
	if t.Kind == "crowd" { // beside any other
		p.crowd(t.Length)
		return
	}
	p.busy.Lock() // one trouble of a process after another; those of others overlap
	defer p.busy.Unlock()
	again := func(environment ...string) {
		p.environment = environment
		r.must(p.start())
	}
	switch t.Kind {
	case "freeze":
		p.freeze(t.Length)
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
		r.must(err)
		p.signal(reloadSignal)
	case "broken-reload":
		p.awaitSettled()
		r.must(p.breakConfig())
		p.signal(reloadSignal)
	case "hand-over":
		if p.socket == nil {
			return
		}
		p.environment = nil
		r.must(p.handOver())
	case "drain-order":
		p.drain(t.Length)
	case "deaf-log":
		p.term()
		p.noReader = true
		again()
	case "wrong-clock":
		p.term()
		by := []string{"1h", "-1h", "3s", "-3s"}[int(t.Length)%4]
		again(r.options.ClockOffset + "=" + by)
	case "failing-calls":
		p.term()
		again(fmt.Sprintf("%s=%d", r.options.FailingCalls, t.At))
	}
}

func (r *run) playCache(t Trouble) {
	s := r.caches[t.Target]
	switch end := r.h.Now() + t.Length; t.Kind {
	case "hang":
		s.until(&s.hungUntil, end)
	case "slow":
		s.until(&s.slowUntil, end)
	case "spoil":
		s.until(&s.spoilUntil, end)
	case "overload":
		s.until(&s.overloadUntil, end)
	case "reset":
		s.resets(0.5)
	default:
		s.busy.Lock()
		defer s.busy.Unlock()
		r.restart(s, t)
	}
}

// restart has a cache go and come back: drained or not, told or not, under its own name.
func (r *run) restart(s *server, t Trouble) {
	if t.Kind != "crash" {
		r.tellState(s, "DRAINING")
		time.Sleep(t.Length)
	}
	if t.Kind == "retire" { // for longer than news may take
		time.Sleep(awayFor)
	}
	if t.Kind == "leave" || t.Kind == "replace" {
		r.tellState(s, "DELETED")
		time.Sleep(t.Length / 2)
	}
	if t.Kind == "crash" || t.Kind == "replace" {
		s.crash()
		time.Sleep(t.Length / 2)
		r.must(s.listen())
		s.mu.Lock()
		s.started = time.Now()
		s.mu.Unlock()
	}
	r.tellState(s, "SERVING")
}

func (r *run) playFeed(t Trouble) {
	switch t.Kind {
	case "unknown-state":
		s := r.caches[t.Target%len(r.caches)]
		s.busy.Lock()
		defer s.busy.Unlock()
		r.tellState(s, "RESTING")
		time.Sleep(t.Length)
		r.tellState(s, "SERVING")
	case "unreadable-line":
		r.coordinator.add(&Told{Group: -1}, "{event %d that nobody can read")
	case "unreadable-purge":
		r.coordinator.add(&Told{Group: -1}, `{"index":%d,"evict":{"everything":true}}`)
	case "unknown-event":
		r.coordinator.add(&Told{Group: -1}, `{"index":%d,"quota":{"share":0.5}}`)
	default:
		m := map[string]mode{"down": down, "silent": silent, "slow-lines": slow}[t.Kind]
		for i := range r.fleet {
			if i%2 == t.Target%2 {
				r.coordinator.set(i, m)
			}
		}
		length := 2 * t.Length
		if m == slow {
			length += slowLine
		}
		time.Sleep(length)
		for i := range r.fleet {
			if i%2 == t.Target%2 {
				r.coordinator.set(i, sound)
			}
		}
	}
}

func (r *run) playOther(t Trouble) {
	switch t.Kind {
	case "purge-group":
		r.purge("", t.Target%groupsInUse)
	case "purge-storm":
		for i := range 10 {
			r.purge(fmt.Sprintf("%016x", (t.Target+i)%objects), -1)
			time.Sleep(t.Length / 10)
		}
	case "origin-hang":
		r.origin.until(&r.origin.hungUntil, r.h.Now()+t.Length/2)
	case "origin-reset":
		r.origin.resets(0.5)
	}
}

// tellState tells everybody the state of a server.
func (r *run) tellState(s *server, state string) {
	s.mu.Lock()
	s.state = state
	entry := s.entry()
	started := s.started
	s.mu.Unlock()
	e := &Told{Group: -1}
	if state == "SERVING" {
		e.Back = []string{s.id}
	} else {
		e.Leaving = []string{s.id}
	}
	r.coordinator.add(e, `{"index":%d,"endpoints":{"version":1,"full":false,"servers":[`+entry+`]}}`)
	if state == "SERVING" && !started.IsZero() {
		r.h.do(func() {
			r.h.Starts = append(r.h.Starts, Start{Server: s.id, At: started.Sub(r.h.start), Index: e.Index})
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
	e := &Told{Object: object, Group: group, Moment: moment}
	names := fmt.Sprintf(`"ref":%q`, object)
	if object == "" {
		names = fmt.Sprintf(`"shard":%d`, group)
	}
	time.Sleep(purgeDelay)
	r.coordinator.add(e, `{"index":%d,"evict":{`+names+fmt.Sprintf(`,"unix_ms":%d}}`, moment.UnixMilli()))
	matches := func(name string) bool {
		var n int
		fmt.Sscanf(name, "%x", &n) //nolint:errcheck // all objects are numbers
		return name == object || object == "" && n%groupsInUse == group
	}
	for _, s := range append(slices.Clone(r.caches), r.parent) {
		s.purge(matches, moment)
	}
}

// describe lists a schedule.
func describe(list []Trouble) string {
	var b strings.Builder
	for _, t := range list {
		fmt.Fprintln(&b, t)
	}
	return b.String()
}
