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
	Load func() (Apply, error)
}

// Apply checks a configuration that has been read against the one in use, and returns what to take over from it. It is
// called on the loop's goroutine. An error says that the configuration can't be used.
type Apply func() (Update, error)

// Update is what a running proxy takes over from a configuration read again.
type Update struct {
	Coordinator            netip.AddrPort
	Settings               settings.Settings
	TransferBytesPerSecond float64 // bytes a second of one transfer
}

// loader reads the configuration off the loop: a slow disk must not hold up requests.
type loader struct {
	results chan loadResult     // of the read under way; nil: none is
	since   eventloop.Timestamp // when that was begun
	again   bool                // it was ordered once more meanwhile
}

type loadResult struct {
	apply Apply
	err   error
}

// reload carries out orders to read the configuration again. One that can't be used changes nothing: the proxy goes on
// serving with the one it has.
func (p *Proxy) reload(orders Signals) {
	select {
	case <-orders.Reload:
		p.loader.again = true
	default:
	}
	if p.loader.results != nil {
		p.finishLoad()
	}
	if p.loader.again && p.loader.results == nil {
		p.startLoad(orders.Load)
	}
}

func (p *Proxy) startLoad(load func() (Apply, error)) {
	results := make(chan loadResult, 1)
	p.loader = loader{results: results, since: p.loop.Now()}
	go func() {
		apply, err := load()
		results <- loadResult{apply, err}
	}()
}

// finishLoad looks for the result of the read under way.
func (p *Proxy) finishLoad() {
	var result loadResult
	select {
	case result = <-p.loader.results:
	default:
		if p.loop.Now()-p.loader.since < loadTimeout {
			return
		}
		result.err = errLoadTimeout
	}
	p.loader.results = nil
	var update Update
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
