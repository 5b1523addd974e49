package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	reloadSignal = syscall.SIGHUP
	// retireExtraDrain is the time for which a "retire" fault drains a cache beyond the fault's duration. It is longer
	// than maxNotifyDelay.
	retireExtraDrain = 9 * time.Second
	// resetFraction is the fraction of a server's connections that a "reset" fault resets.
	resetFraction = 0.5
	// hangBeforeSigterm is the time for which servers have hung when a "term-hung" fault sends SIGTERM.
	hangBeforeSigterm = 200 * time.Millisecond
	// purgeStormSize is the number of objects that a "purge-storm" fault purges.
	purgeStormSize = 10
)

// inject injects one fault and returns when it is over.
func (r *run) inject(f Fault) {
	r.history.Logf(faultSource, "%v", f)
	switch {
	case slices.Contains(processFaults, f.Kind):
		r.injectProcessFault(f)
	case slices.Contains(cacheFaults, f.Kind):
		r.injectCacheFault(f)
	case slices.Contains(coordinatorFaults, f.Kind):
		r.injectCoordinatorFault(f)
	default:
		r.injectOtherFault(f)
	}
	r.history.Logf(faultSource, "over: %s %d", f.Kind, f.Target)
}

// injectProcessFault injects a fault of a proxy. Except for the idle clients of "crowd", the faults of one proxy
// run one after another; those of different proxies overlap.
func (r *run) injectProcessFault(f Fault) {
	p := r.fleet[f.Target]
	if f.Kind == "crowd" {
		p.connectIdleClients(f.Duration)
		return
	}
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	switch f.Kind {
	case "freeze":
		p.pause(f.Duration)
	case "drain-order", "drain-again", "drain-term":
		r.drainProxy(p, f)
	case "reload", "broken-reload":
		p.awaitReloadable()
		r.recordFailure(r.rewriteConfig(p, f))
		p.signal(reloadSignal)
	case "hand-over":
		if p.socket != nil {
			r.startHabits(p, f)
			p.environment = nil
			r.recordFailure(p.replace())
		}
	default:
		r.restartProcess(p, f)
	}
}

// rewriteConfig writes a configuration with hedging on or off, or truncates the current one for "broken-reload".
// The schedule has no draw for hedging, so the lowest bit of the fault's time decides.
func (r *run) rewriteConfig(p *process, f Fault) error {
	if f.Kind == "broken-reload" {
		return p.truncateConfig()
	}
	hedging := f.At%2 == 0
	p.settings = settingsFor(p.number, r.options.FleetSize, hedging)
	_, err := p.writeConfig()
	return err
}

// restartProcess ends a proxy's process and starts the next one, which may run under a fault. If the soak test holds
// the clients' socket and the fault is not "kill", the next process starts before the old one ends, as on the
// platform that proxies run on. Otherwise connections that arrive between the two would wait for the start.
func (r *run) restartProcess(p *process, f Fault) {
	takeover := p.socket != nil && f.Kind != "kill"
	r.prepareRestart(p, f)
	r.startHabits(p, f)
	if !takeover {
		r.endProcess(p, f)
	}
	r.setEnvironment(p, f)
	if takeover {
		r.recordFailure(p.replace())
		return
	}
	r.recordFailure(p.start())
}

// prepareRestart carries out what a fault does before the process ends.
func (r *run) prepareRestart(p *process, f Fault) {
	switch f.Kind {
	case "signals":
		r.reloadInSeries(p, f)
	case "term-hung":
		r.hangServers(f)
	}
}

// endProcess ends a process before the next one starts.
func (r *run) endProcess(p *process, f Fault) {
	switch f.Kind {
	case "kill":
		p.kill()
	case "signals":
		p.signalInSeries()
		p.terminate(requestTimeUntilExit)
	case "term-in-use", "term-hung":
		p.terminate(requestTimeUntilExit)
	default:
		p.terminate(requestTimeAfterSigterm)
	}
}

// setEnvironment sets the faults under which the next process runs. The schedule has no draws for the clock's offset
// and the seed of failing calls: the remainder of the fault's duration selects the offset, and the fault's time is the
// seed.
func (r *run) setEnvironment(p *process, f Fault) {
	p.environment = nil
	switch f.Kind {
	case "deaf-log":
		p.logUnread = true
	case "wrong-clock":
		offsets := []string{"1h", "-1h", "3s", "-3s"}
		p.environment = []string{r.options.ClockOffsetEnv + "=" + offsets[int(f.Duration)%len(offsets)]}
	case "failing-calls":
		p.environment = []string{fmt.Sprintf("%s=%d", r.options.SyscallFaultSeedEnv, f.At)}
	}
}

// hangServers makes the origin and half of the caches hang for longer than a shutdown takes. It returns after
// hangBeforeSigterm, so that requests are waiting at the hung servers.
func (r *run) hangServers(f Fault) {
	end := r.history.Now() + hangBeforeSigterm + maxDeadline + killDelay
	r.origin.extendFault(&r.origin.hungUntil, end)
	for i := range len(r.caches) / 2 {
		s := r.caches[(f.Target+i)%len(r.caches)]
		s.extendFault(&s.hungUntil, end)
	}
	time.Sleep(hangBeforeSigterm)
}

// injectCacheFault injects a fault of a cache. Faults that restart or withdraw the same cache run one after another.
func (r *run) injectCacheFault(f Fault) {
	s := r.caches[f.Target]
	end := r.history.Now() + f.Duration
	switch f.Kind {
	case "hang":
		s.extendFault(&s.hungUntil, end)
	case "slow":
		s.extendFault(&s.slowUntil, end)
	case "spoil":
		s.extendFault(&s.malformUntil, end)
	case "overload":
		s.extendFault(&s.overloadUntil, end)
	case "reset":
		s.resetConns(resetFraction)
	default:
		s.faultMu.Lock()
		defer s.faultMu.Unlock()
		r.restartCache(s, f)
	}
}

// restartCache takes a cache out of service and announces it again. "crash" crashes and restarts it. All other kinds
// drain it first: "leave" then removes it from the endpoint list, and "replace" removes, crashes and restarts it.
func (r *run) restartCache(s *server, f Fault) {
	if f.Kind != "crash" {
		r.announceState(s, "DRAINING")
		time.Sleep(f.Duration)
	}
	if f.Kind == "retire" {
		time.Sleep(retireExtraDrain)
	}
	if f.Kind == "leave" || f.Kind == "replace" {
		r.announceState(s, "DELETED")
		time.Sleep(f.Duration / 2)
	}
	if f.Kind == "crash" || f.Kind == "replace" {
		s.crash()
		time.Sleep(f.Duration / 2)
		r.recordFailure(s.restart())
	}
	r.announceState(s, "SERVING")
	if f.Kind == "crash" || f.Kind == "replace" {
		r.surge()
	}
}

// injectCoordinatorFault injects a fault of the coordinator or of the events that it publishes.
func (r *run) injectCoordinatorFault(f Fault) {
	switch f.Kind {
	case "unknown-state":
		s := r.caches[f.Target%len(r.caches)]
		s.faultMu.Lock()
		defer s.faultMu.Unlock()
		r.announceState(s, "RESTING")
		time.Sleep(f.Duration)
		r.announceState(s, "SERVING")
	case "unreadable-line":
		r.coordinator.publish(&WatchEvent{PurgedGroup: noGroup}, "{event %d that nobody can read")
	case "unreadable-purge":
		r.coordinator.publish(&WatchEvent{PurgedGroup: noGroup}, `{"index":%d,"evict":{"everything":true}}`)
	case "unknown-event":
		r.coordinator.publish(&WatchEvent{PurgedGroup: noGroup}, `{"index":%d,"quota":{"share":0.5}}`)
	case "down":
		r.injectCoordinatorMode(f, modeDown, 2*f.Duration)
	case "silent":
		r.injectCoordinatorMode(f, modeSilent, 2*f.Duration)
	case "slow-lines":
		r.injectCoordinatorMode(f, modeSlow, 2*f.Duration+slowLineTime)
	default:
		r.injectCoordinatorMode(f, corruptionModes[f.Kind], 2*f.Duration+maxNotifyDelay)
	}
}

// corruptionModes maps the faults that corrupt events' lines to the coordinator's modes.
var corruptionModes = map[string]coordinatorMode{
	"cut-lines": modeTruncateClose, "short-lines": modeTruncateStall,
	"half-lines": modeHalfPrefix, "double-lines": modeDuplicate,
}

// injectCoordinatorMode puts the coordinator into a faulty mode for every second proxy for a length of time. It does
// nothing if the coordinator is in a faulty mode for them already, because one mode must not end another early.
func (r *run) injectCoordinatorMode(f Fault, m coordinatorMode, length time.Duration) {
	modeMu := &r.coordinatorModeMu[f.Target%len(r.coordinatorModeMu)]
	if !modeMu.TryLock() {
		return
	}
	defer modeMu.Unlock()
	r.setCoordinatorMode(f, m)
	time.Sleep(length)
	r.setCoordinatorMode(f, modeHealthy)
}

// setCoordinatorMode sets the coordinator's mode for every second proxy: those whose number has the parity of the
// fault's target.
func (r *run) setCoordinatorMode(f Fault, m coordinatorMode) {
	for i := range r.fleet {
		if i%len(r.coordinatorModeMu) == f.Target%len(r.coordinatorModeMu) {
			r.coordinator.setMode(i, m)
		}
	}
}

// injectOtherFault injects a purge or a fault of the origin.
func (r *run) injectOtherFault(f Fault) {
	switch f.Kind {
	case "purge-group":
		r.purgeGroup(f.Target % groupCount)
	case "purge-storm":
		for i := range purgeStormSize {
			r.purgeObject(objectName((f.Target + i) % objectCount))
			time.Sleep(f.Duration / purgeStormSize)
		}
	case "origin-hang":
		r.origin.extendFault(&r.origin.hungUntil, r.history.Now()+f.Duration/2)
	case "origin-reset":
		r.origin.resetConns(resetFraction)
	}
}

// announceState publishes a new state of a server in the endpoint list. If the server is serving and was restarted
// during the run, it records the start.
func (r *run) announceState(s *server, state string) {
	entry, restartedAt := s.setState(state)
	e := &WatchEvent{PurgedGroup: noGroup}
	if state == "SERVING" {
		e.Serving = []string{s.id}
	} else {
		e.Withdrawn = []string{s.id}
	}
	r.coordinator.publish(e, `{"index":%d,"endpoints":{"version":1,"full":false,"servers":[`+entry+`]}}`)
	if state == "SERVING" && !restartedAt.IsZero() {
		r.history.withLock(func() {
			r.history.Starts = append(r.history.Starts,
				ServerStart{Server: s.id, At: restartedAt.Sub(r.history.start), EventIndex: e.Index})
		})
	}
}
