package soak

import (
	"errors"
	"fmt"
	"time"
)

const (
	// connectTimeAfterDrainOrder is the time after the order to drain for which clients still open connections.
	connectTimeAfterDrainOrder = 200 * time.Millisecond
	// readinessInterval is the time between two questions whether a proxy is ready.
	readinessInterval = 100 * time.Millisecond
	// shortDrainPause is the time between the end of a drain and the next one of the same proxy.
	shortDrainPause = 200 * time.Millisecond
	// longDrainFrom is the length of a fault from which its drain lasts for longer than maxDrainHold.
	longDrainFrom = (minFaultDuration + maxFaultDuration) / 2
)

// drainProxy carries out a drain, two drains in a row ("drain-again"), or a drain that SIGTERM and a restart follow
// ("drain-term"), while clients with habits use the proxy.
func (r *run) drainProxy(p *process, f Fault) {
	r.startHabits(p, f)
	length := f.Duration
	if f.Duration >= longDrainFrom && f.Kind != "drain-term" {
		length = maxDrainHold + f.Duration/2
	}
	switch f.Kind {
	case "drain-again":
		p.drain(f.Duration / 2)
		time.Sleep(shortDrainPause)
		p.drain(length)
	case "drain-term":
		p.startDrain()
		time.Sleep(length)
		p.terminate(requestTimeUntilExit)
		p.environment = nil
		r.recordFailure(p.start())
	default:
		p.drain(length)
	}
}

// drain tells the proxy to drain, waits for a length of time, and tells the proxy to serve again. Clients use the
// connections that they have until the proxy closes them, and open no more after connectTimeAfterDrainOrder.
func (p *process) drain(length time.Duration) {
	drain := p.startDrain()
	if drain == nil {
		return
	}
	p.observeDrain(drain, length)
	p.endDrain(drain)
}

// startDrain tells the proxy to drain. It returns nil if the proxy does not.
func (p *process) startDrain() *Drain {
	p.mu.Lock()
	incarnation := p.incarnation
	p.mu.Unlock()
	drain := &Drain{Proxy: p.number, Incarnation: incarnation.Number, OrderedAt: p.r.history.Now()}
	if err := p.order("/ops/drain/start"); err != nil {
		p.r.history.Logf(p.name(), "drain order failed: %v", err)
		return nil
	}
	p.r.history.withLock(func() { p.r.history.Drains = append(p.r.history.Drains, drain) })
	time.AfterFunc(connectTimeAfterDrainOrder, func() { p.stopConns(incarnation) })
	return drain
}

// observeDrain asks for a length of time whether the proxy is ready, and records when it was.
func (p *process) observeDrain(drain *Drain, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(readinessInterval) {
		if p.isReady() {
			p.r.history.withLock(func() { drain.ReadyAt = p.r.history.Now() })
			return
		}
	}
}

// endDrain tells the proxy to serve again and records when it is ready. Clients connect again then.
func (p *process) endDrain(drain *Drain) {
	if err := p.order("/ops/drain/stop"); err != nil {
		p.r.history.Logf(p.name(), "order to stop draining failed: %v", err)
		return
	}
	p.r.history.withLock(func() { drain.EndOrderedAt = p.r.history.Now() })
	for end := time.Now().Add(2 * maxReadyAfterDrain); !p.isReady(); time.Sleep(readinessInterval) {
		if time.Now().After(end) {
			return
		}
	}
	p.r.history.withLock(func() { drain.ReadyAgainAt = p.r.history.Now() })
	p.mu.Lock()
	defer p.mu.Unlock()
	inc := p.incarnation
	if inc.Number == drain.Incarnation && inc.SigtermAt == 0 && inc.ExitedAt == 0 {
		p.acceptsConns = true
	}
}

// isReady reports whether the proxy says that it is ready.
func (p *process) isReady() bool {
	status, err := p.callAdmin("GET", "/ops/readiness")
	return err == nil && status == statusOK
}

// order sends an order to the proxy's admin address.
func (p *process) order(path string) error {
	status, err := p.callAdmin("PUT", path)
	if err == nil && status != statusOK {
		err = errors.New(fmt.Sprint("status ", status))
	}
	return err
}
