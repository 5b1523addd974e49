// Command edgeproxy is one edge proxy: it takes requests from clients over FastCGI, has package policy decide
// which cache answers each, and keeps up with the coordinator's list of caches and purges.
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
	startupRetryTimeout  = 5 * time.Second // for what this machine lacks at the start
	startupRetryInterval = 20 * time.Millisecond
)

// logFlushTimeout is how long the end of the program waits for its last lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// onViolation is called when the program finds that it has broken a rule; nil in service, where that is only counted and logged.
var onViolation func(text string)

func main() { serve(eventloop.SystemClock()) }

// serve runs the program by a clock until it has been stopped. It exits with status 1 when that went wrong.
func serve(clock eventloop.TimeSource) {
	signals := listenForSignals() // ahead of all else: one that comes early must not end the program
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

// signals are what the program is sent while it runs.
type signals struct{ stop, reload chan os.Signal }

func listenForSignals() signals {
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to stop
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func run(cfg *config, clock eventloop.TimeSource, s signals, logger *slog.Logger, out *logging.Writer) error {
	// A garbage collector that knows the limit works harder near it; the platform would kill the process.
	debug.SetMemoryLimit(int64(cfg.proxy.MaxMemoryBytes) * 6 / 10)
	var loop *eventloop.Loop
	if err := retryOnLocalResources(func() (err error) { loop, err = eventloop.NewLoop(clock); return err }); err != nil {
		return err
	}
	cfg.proxy.DroppedLogLines, cfg.proxy.OnViolation = out.Dropped, onViolation
	p := proxy.New(loop, cfg.proxy, logger)
	if err := openAddresses(p, cfg); err != nil {
		return err
	}
	p.WatchCoordinator(cfg.coordinator, cfg.Known.Index)
	return p.Run(proxy.Signals{Stop: s.stop, Reload: s.reload, Load: func() (proxy.PrepareUpdate, error) {
		now, err := loadConfig(os.Getenv)
		if err != nil {
			return nil, err
		}
		return func() (proxy.ConfigUpdate, error) { return cfg.prepareUpdate(now, logger) }, nil
	}})
}

// openAddresses listens for clients and operators.
func openAddresses(p *proxy.Proxy, cfg *config) (err error) {
	most := proxy.ClientSockets(cfg.Limits.Sockets)
	err = retryOnLocalResources(func() error {
		if cfg.inheritedListenFD != 0 {
			return p.ListenOn(cfg.inheritedListenFD, most)
		}
		return p.Listen(cfg.listen, most)
	})
	if err != nil || cfg.Admin == "" {
		return err
	}
	return retryOnLocalResources(func() error { return p.ListenAdmin(cfg.admin) })
}

// retryOnLocalResources tries again for a while what fails as this machine lacks something: a program that refuses to start serves nobody.
func retryOnLocalResources(start func() error) (err error) {
	for end := time.Now().Add(startupRetryTimeout); ; time.Sleep(startupRetryInterval) {
		if err = start(); !errors.Is(err, eventloop.ErrLocalResources) || time.Now().After(end) {
			return err
		}
	}
}
