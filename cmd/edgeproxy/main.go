// Command edgeproxy is an edge proxy. It accepts requests from clients over FastCGI, forwards each to the cache
// that package policy chooses, and follows the endpoint list and the purges of the coordinator.
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
	// startupRetryTimeout is the time for which a step of the start is retried while the machine lacks descriptors
	// or memory.
	startupRetryTimeout  = 5 * time.Second
	startupRetryInterval = 20 * time.Millisecond
	// logFlushTimeout limits the program's wait for its last log lines to be written before it exits.
	logFlushTimeout = proxy.ExitMargin / 4
	// heapLimitPercent is the percentage of the process's memory limit that is set as the garbage collector's
	// limit. The rest is for memory that the collector does not count.
	heapLimitPercent = 60
)

// onViolation is called when the invariant checker finds a violation. Tests set it. In production it is nil, and
// violations are only counted and logged.
var onViolation func(text string)

func main() { serve(eventloop.SystemClock()) }

// serve runs the program with a clock until it has been stopped. It exits with status 1 on an error.
func serve(clock eventloop.TimeSource) {
	signals := listenForSignals() // first, so that an early signal does not kill the process
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

// signalChannels holds the channels of the signals that the program handles: SIGTERM and SIGINT stop it, SIGHUP
// reloads its configuration.
type signalChannels struct{ stop, reload chan os.Signal }

// listenForSignals starts to receive signals and returns their channels. SIGPIPE is ignored, so that the program
// continues when the reader of its log has gone.
func listenForSignals() signalChannels {
	signal.Ignore(syscall.SIGPIPE)
	s := signalChannels{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// run starts a proxy with a configuration and serves until it has been stopped.
func run(cfg *config, clock eventloop.TimeSource, s signalChannels, logger *slog.Logger, out *logging.Writer) error {
	// The platform kills a process that reaches its memory limit, so the garbage collector has to run more often
	// before that.
	debug.SetMemoryLimit(int64(cfg.proxy.MaxMemoryBytes) * heapLimitPercent / 100)
	loop, err := newLoop(clock)
	if err != nil {
		return err
	}
	cfg.proxy.DroppedLogLines = out.Dropped
	cfg.proxy.OnViolation = onViolation
	cfg.proxy.ClaimedIDs = cfg.openClaimedIDs(os.Getenv, logger)
	p := proxy.New(loop, cfg.proxy, logger)
	if err := openListeners(p, cfg); err != nil {
		return err
	}
	p.WatchCoordinator(cfg.coordinatorAddr, cfg.KnownState.Index)
	return p.Run(proxy.Signals{Stop: s.stop, Reload: s.reload, LoadConfig: cfg.reloader(logger)})
}

// newLoop returns an event loop with a clock.
func newLoop(clock eventloop.TimeSource) (*eventloop.Loop, error) {
	var loop *eventloop.Loop
	err := retryOnResourceShortage(func() error {
		var err error
		loop, err = eventloop.NewLoop(clock)
		return err
	})
	return loop, err
}

// openListeners opens the listening sockets for clients and, if an address is configured, for operators.
func openListeners(p *proxy.Proxy, cfg *config) error {
	maxClientConns := proxy.MaxClientConns(cfg.Limits.Sockets)
	err := retryOnResourceShortage(func() error {
		if cfg.inheritedListenFD != 0 {
			return p.ListenOn(cfg.inheritedListenFD, maxClientConns)
		}
		return p.Listen(cfg.listenAddr, maxClientConns)
	})
	if err != nil || cfg.Admin == "" {
		return err
	}
	return retryOnResourceShortage(func() error { return p.ListenAdmin(cfg.adminAddr) })
}

// retryOnResourceShortage retries a step of the start, for up to startupRetryTimeout, while it fails for a lack of
// descriptors or memory, which may be temporary. It returns the last error.
func retryOnResourceShortage(step func() error) error {
	deadline := time.Now().Add(startupRetryTimeout)
	for {
		err := step()
		if !errors.Is(err, eventloop.ErrLocalResourcesExhausted) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(startupRetryInterval)
	}
}
