package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"
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
