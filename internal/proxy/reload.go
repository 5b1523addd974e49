package proxy

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/settings"
)

// loadTimeout is how long the configuration file may take to be read before the order counts as failed.
const loadTimeout = 5 * time.Second

var errLoadTimeout = errors.New("the file could not be read in time")

// Signals are what the program is told from outside while it runs.
type Signals struct {
	Stop   <-chan os.Signal // drain, then end
	Reload <-chan os.Signal // read the configuration again
	// Load reads the configuration. It may block, and is called on a goroutine of its own.
	Load func() (PrepareUpdate, error)
}

// PrepareUpdate checks a configuration that has been read against the one in use, and returns what to take over from it. It is
// called on the loop's goroutine. An error says that the configuration can't be used.
type PrepareUpdate func() (ConfigUpdate, error)

// ConfigUpdate is what a running proxy takes over from a configuration read again.
type ConfigUpdate struct {
	Coordinator            netip.AddrPort
	Settings               settings.Settings
	TransferBytesPerSecond float64 // bytes a second of one transfer
}

// configLoader reads the configuration off the loop: a slow disk must not hold up requests.
type configLoader struct {
	results   chan loadResult     // of the read under way; nil: none is
	startedAt eventloop.Timestamp // when that was begun
	pending   bool                // it was ordered once more meanwhile
}

type loadResult struct {
	apply PrepareUpdate
	err   error
}

// pollReload carries out orders to read the configuration again. One that can't be used changes nothing: the proxy goes on
// serving with the one it has.
func (p *Proxy) pollReload(orders Signals) {
	select {
	case <-orders.Reload:
		p.configLoader.pending = true
	default:
	}
	if p.configLoader.results != nil {
		p.finishLoad()
	}
	if p.configLoader.pending && p.configLoader.results == nil {
		p.startLoad(orders.Load)
	}
}

func (p *Proxy) startLoad(load func() (PrepareUpdate, error)) {
	results := make(chan loadResult, 1)
	p.configLoader = configLoader{results: results, startedAt: p.loop.Now()}
	go func() {
		apply, err := load()
		results <- loadResult{apply, err}
	}()
}

// finishLoad looks for the result of the read under way.
func (p *Proxy) finishLoad() {
	var result loadResult
	select {
	case result = <-p.configLoader.results:
	default:
		if p.loop.Now()-p.configLoader.startedAt < loadTimeout {
			return
		}
		result.err = errLoadTimeout
	}
	p.configLoader.results = nil
	var update ConfigUpdate
	if result.err == nil {
		update, result.err = result.apply()
	}
	if result.err != nil {
		p.counters.configsRejected++
		p.log.Warn("not taken over", "error", result.err)
		return
	}
	p.counters.configsAccepted++
	p.log.Info("configuration read again", "coordinator", update.Coordinator, "classes", len(update.Settings.Policy.Classes))
	p.apply(update.Settings, update.TransferBytesPerSecond)
	p.notify(update.Settings.Policy) // before any request by the new classes: none has come since the last turn
	p.SwitchCoordinator(update.Coordinator)
}
