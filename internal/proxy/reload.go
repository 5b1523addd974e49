package proxy

// This file reloads the configuration while the proxy serves.

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/settings"
)

// loadTimeout is the time after which a reload whose configuration is still being read counts as failed.
const loadTimeout = 5 * time.Second

var errLoadTimeout = errors.New("reading the configuration timed out")

// Signals controls the proxy from outside while Run serves.
type Signals struct {
	Stop   <-chan os.Signal // starts a graceful shutdown
	Reload <-chan os.Signal // reloads the configuration
	// LoadConfig reads the configuration. It may block, so it is called on a separate goroutine and must not access
	// the proxy. A call that exceeds loadTimeout is not ended but its result is discarded, so the next call may
	// overlap with it.
	LoadConfig func() (PrepareUpdateFunc, error)
}

// PrepareUpdateFunc checks a configuration that has been read against the one in use and returns what the proxy must
// replace. It is called once, on the event loop's goroutine, and must not block. An error rejects the whole
// configuration.
type PrepareUpdateFunc func() (ConfigUpdate, error)

// ConfigUpdate holds the values that a reload replaces while the proxy serves.
type ConfigUpdate struct {
	Coordinator            netip.AddrPort
	Settings               settings.Settings // already validated
	TransferBytesPerSecond float64           // rate of one transfer; 0: unknown
}

// configLoader reads the configuration on a separate goroutine, because a slow disk must not delay requests. It
// awaits one read at a time. The goroutine only calls load and puts the result into a buffered channel, so it ends
// when load returns even if nobody awaits the result any more. Everything else belongs to the event loop's
// goroutine.
type configLoader struct {
	results   chan loadResult     // result of the awaited read; nil: no read is awaited
	startedAt eventloop.Timestamp // when the awaited read was started
	requested bool                // a reload has been requested and its read has not been started
}

// loadResult is the result of a read: a configuration or an error.
type loadResult struct {
	prepare PrepareUpdateFunc
	err     error
}

// start starts a read if one has been requested and none is awaited.
func (l *configLoader) start(load func() (PrepareUpdateFunc, error), now eventloop.Timestamp) {
	if !l.requested || l.results != nil {
		return
	}
	results := make(chan loadResult, 1)
	*l = configLoader{results: results, startedAt: now}
	go func() {
		prepare, err := load()
		results <- loadResult{prepare, err}
	}()
}

// poll returns the result of the awaited read if the read is done or has exceeded loadTimeout.
func (l *configLoader) poll(now eventloop.Timestamp) (result loadResult, done bool) {
	if l.results == nil {
		return loadResult{}, false
	}
	select {
	case result = <-l.results:
	default:
		if now-l.startedAt < loadTimeout {
			return loadResult{}, false
		}
		result.err = errLoadTimeout
	}
	l.results = nil
	return result, true
}

// pollReload handles requests to reload the configuration. It is called once in each turn of the event loop.
func (p *Proxy) pollReload(signals Signals) {
	select {
	case <-signals.Reload:
		p.configLoader.requested = true
	default:
	}
	result, done := p.configLoader.poll(p.loop.Now())
	if done {
		p.finishReload(result)
	}
	p.configLoader.start(signals.LoadConfig, p.loop.Now())
}

// finishReload applies a configuration that has been read. If it is rejected, the proxy keeps the one in use.
func (p *Proxy) finishReload(result loadResult) {
	update, err := result.update()
	if err != nil {
		p.counters.configsRejected++
		p.log.Warn("configuration rejected", "error", err)
		return
	}
	p.counters.configsAccepted++
	p.log.Info("configuration reloaded", "coordinator", update.Coordinator, "classes", len(update.Settings.Policy.Classes))
	p.applyConfig(newRuntimeConfig(update.Settings, update.TransferBytesPerSecond))
	p.notify(update.Settings.Policy) // queued before any request of a new class, as those are parsed in later turns
	p.SwitchCoordinator(update.Coordinator)
}

// update checks the configuration that has been read and returns what the proxy must replace.
func (r loadResult) update() (ConfigUpdate, error) {
	if r.err != nil {
		return ConfigUpdate{}, r.err
	}
	return r.prepare()
}
