// Command edgeproxy is one edge proxy: it takes requests from clients over FastCGI, has package policy decide
// which cache answers each, and follows the coordinator's endpoint list and purges.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/logging"
	"cloverdoor/internal/proxy"
)

const (
	// startupRetryTimeout is how long the start is retried while the machine lacks descriptors or memory for
	// it.
	startupRetryTimeout  = 5 * time.Second
	startupRetryInterval = 20 * time.Millisecond
	// logFlushTimeout is how long the end of the program waits for the last log lines to be written.
	logFlushTimeout = proxy.KillMargin / 4
	// heapLimitPercent is the part of the process's memory limit that the garbage collector is given. The
	// rest is for memory that it does not count.
	heapLimitPercent = 60
)

// onViolation is called when the invariant checker finds a violation. It is nil in service, where violations
// are counted and logged; tests set it.
var onViolation func(text string)

func main() { serve(eventloop.SystemClock()) }

// serve runs the program by a clock until it has been stopped. It exits with status 1 on an error.
func serve(clock eventloop.TimeSource) {
	signals := listenForSignals() // comes first: an early signal must not end the program unhandled
	out := logging.NewWriter(os.Stderr)
	name := "edgeproxy"
	cfg, err := loadConfig(os.Getenv)
	if err == nil {
		name = "edgeproxy " + cfg.Name
		err = run(cfg, clock, signals, logging.New(out, cfg.Name), out)
	}
	if err != nil {
		fmt.Fprintf(out, "%s: %v\n", name, err) //nolint:errcheck // never fails
	}
	out.Close(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// signals are the signals that the program handles: SIGTERM and SIGINT stop it, SIGHUP reloads its
// configuration.
type signals struct{ stop, reload chan os.Signal }

// listenForSignals starts to handle signals. SIGPIPE is ignored, as the program goes on when its log's reader
// is gone.
func listenForSignals() signals {
	signal.Ignore(syscall.SIGPIPE)
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// run starts a proxy by a configuration and serves until it has been stopped.
func run(cfg *config, clock eventloop.TimeSource, s signals, logger *slog.Logger, out *logging.Writer) error {
	// The platform kills the process at its memory limit; the garbage collector works harder before.
	debug.SetMemoryLimit(int64(cfg.proxy.MaxMemoryBytes) * heapLimitPercent / 100)
	loop, err := newLoop(clock)
	if err != nil {
		return err
	}
	cfg.proxy.DroppedLogLines = out.Dropped
	cfg.proxy.OnViolation = onViolation
	p := proxy.New(loop, cfg.proxy, logger)
	if err := openListeners(p, cfg); err != nil {
		return err
	}
	p.WatchCoordinator(cfg.coordinator, cfg.InitialState.Index)
	return p.Run(proxy.Signals{Stop: s.stop, Reload: s.reload, Load: cfg.reloader(logger)})
}

// newLoop returns an event loop that goes by a clock.
func newLoop(clock eventloop.TimeSource) (*eventloop.Loop, error) {
	var loop *eventloop.Loop
	err := retryOnResourceShortage(func() error {
		var err error
		loop, err = eventloop.NewLoop(clock)
		return err
	})
	return loop, err
}

// openListeners opens the addresses for clients and for operators.
func openListeners(p *proxy.Proxy, cfg *config) error {
	maxClients := proxy.ClientSockets(cfg.Limits.Sockets)
	err := retryOnResourceShortage(func() error {
		if cfg.inheritedListenFD != 0 {
			return p.ListenOn(cfg.inheritedListenFD, maxClients)
		}
		return p.Listen(cfg.listen, maxClients)
	})
	if err != nil || cfg.Admin == "" {
		return err
	}
	return retryOnResourceShortage(func() error { return p.ListenAdmin(cfg.admin) })
}

// retryOnResourceShortage retries a step of the start for a while if it fails for a lack of descriptors or
// memory, which may pass. It returns the last error.
func retryOnResourceShortage(start func() error) error {
	end := time.Now().Add(startupRetryTimeout)
	for {
		err := start()
		if !errors.Is(err, eventloop.ErrLocalResources) || time.Now().After(end) {
			return err
		}
		time.Sleep(startupRetryInterval)
	}
}
