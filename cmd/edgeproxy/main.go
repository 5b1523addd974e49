// Command edgeproxy is one edge proxy: it takes requests from clients over FastCGI, has package policy decide
// which cache answers each, and keeps up with the coordinator's list of caches and purges.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/logging"
	"cloverdoor/internal/proxy"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
)

const (
	startupRetryTimeout  = 5 * time.Second // for what this machine lacks at the start
	startupRetryInterval = 20 * time.Millisecond
)

// logFlushTimeout is how long the end of the program waits for its last lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// onViolation is called when the program finds that it has broken a rule; nil in service, where that is only counted and logged.
var onViolation func(text string)

// config is the file that BALANCER_CONFIG names.
type config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Admin  string `json:"admin_addr"` // empty: operators can't call
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Coordinator string             `json:"coordinator"`
	Flow        float64            `json:"flow_bytes_per_s"` // of one transfer
	Known       watch.InitialState `json:"known"`
	Settings    json.RawMessage    `json:"settings"`

	fields map[string]json.RawMessage // the file's, as they came

	listen, admin, coordinator netip.AddrPort
	inheritedListenFD          int // descriptor of the clients' listening socket; 0: none
	proxy                      proxy.Config
}

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

// prepareUpdate checks a configuration read later against the one in use, and makes it the one in use.
func (c *config) prepareUpdate(now *config, logger *slog.Logger) (proxy.ConfigUpdate, error) {
	if err := now.checkReplacement(c); err != nil {
		return proxy.ConfigUpdate{}, err
	}
	if kept := c.restartOnlyChanges(now); kept != "" {
		logger.Warn("changed in the configuration, and taken over at the next start only", "fields", kept)
	}
	c.fields, c.proxy.Settings = now.fields, now.proxy.Settings
	return proxy.ConfigUpdate{Coordinator: now.coordinator, Settings: now.proxy.Settings, TransferBytesPerSecond: now.Flow}, nil
}

// checkReplacement says whether a configuration read later may be taken over. Half of one, such as a file that was cut off
// or lacks a key, must not be: its absent values would pass for 'not told'.
func (c *config) checkReplacement(earlier *config) error {
	for name, was := range earlier.fields {
		is, ok := c.fields[name]
		if !ok {
			return fmt.Errorf("configuration: %s is missing", name)
		}
		if name == "known" { // each of its events is of another form
			continue
		}
		path, err := settings.MissingKey(was, is)
		if err == nil && path != "" {
			err = fmt.Errorf("%s%s is missing or of another type", name, path)
		}
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	return c.proxy.Settings.CheckAfter(earlier.proxy.Settings)
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

// restartOnlyChanges names what differs in a configuration read later and holds until the next start all the same. Sockets and
// limits are fixed while the proxy runs; the settings, the pace of a transfer and the coordinator's address are taken
// over. The known events are not among them: every one since is told by the coordinator.
func (c *config) restartOnlyChanges(later *config) string {
	var names []string
	for _, field := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == later.Name},
		{"listen", c.listen == later.listen},
		{"admin_addr", c.admin == later.admin},
		{"limits", c.Limits == later.Limits},
	} {
		if !field.same {
			names = append(names, field.name)
		}
	}
	return strings.Join(names, ", ")
}

// loadConfig reads the configuration. The environment's address and name go before the file's.
func loadConfig(env func(string) string) (*config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var c config
	if err = json.Unmarshal(text, &c); err == nil {
		err = json.Unmarshal(text, &c.fields)
	}
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if listen := env("BALANCER_LISTEN"); listen != "" {
		c.Listen = listen
	}
	if admin := env("BALANCER_ADMIN_ADDR"); admin != "" {
		c.Admin = admin
	}
	if fd := env("BALANCER_LISTEN_FD"); fd != "" {
		if c.inheritedListenFD, err = strconv.Atoi(fd); err != nil || c.inheritedListenFD <= 2 {
			return nil, fmt.Errorf("BALANCER_LISTEN_FD: %q is no descriptor", fd)
		}
	}
	if name := env("BALANCER_NAME"); name != "" {
		c.Name = name
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return &c, nil
}

func (c *config) check() (err error) {
	if c.listen, err = netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.Admin != "" {
		if c.admin, err = netip.ParseAddrPort(c.Admin); err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
	}
	if c.coordinator, err = netip.ParseAddrPort(c.Coordinator); err != nil {
		return fmt.Errorf("coordinator: %w", err)
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if c.Limits.MemoryMB < 16 || c.Limits.Sockets < 64 {
		return errors.New("limits: memory_mb must be 16 or more and sockets 64 or more")
	}
	set, err := settings.Decode(c.Settings)
	if err == nil {
		err = set.Check()
	}
	if err != nil {
		return err
	}
	c.proxy = proxy.Config{Settings: set, Seed: seed, InitialState: c.Known, MaxDescriptors: c.Limits.Sockets,
		MaxMemoryBytes: c.Limits.MemoryMB << 20, TransferBytesPerSecond: c.Flow}
	if c.inheritedListenFD != 0 { // for a while, two processes share the limits
		c.proxy.MaxDescriptors, c.proxy.MaxMemoryBytes = c.proxy.MaxDescriptors/2, c.proxy.MaxMemoryBytes/2
		c.proxy.Settings.Policy.ProcessesPerRouter = 2
	}
	return nil
}
