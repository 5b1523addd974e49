// Command cloverdoor is one edge proxy: it takes requests from clients over FastCGI, has package policy decide
// which cache answers each, and keeps up with the coordinator's list of caches and purges.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"cloverdoor/internal/feed"
	"cloverdoor/internal/net"
	"cloverdoor/internal/proxy"
	"cloverdoor/internal/settings"
)

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
	Coordinator string          `json:"coordinator"`
	Flow        float64         `json:"flow_bytes_per_s"` // of one transfer
	Known       feed.Known      `json:"known"`
	Settings    json.RawMessage `json:"settings"`

	listen, admin, coordinator netip.AddrPort
	inherited                  int // descriptor of the clients' listening socket; 0: none
	proxy                      proxy.Config
}

func main() {
	logger := log.New(os.Stderr, "cloverdoor: ", 0)
	cfg, err := load(os.Getenv)
	if err == nil {
		logger.SetPrefix("cloverdoor " + cfg.Name + ": ")
		err = run(cfg, logger)
	}
	if err != nil {
		logger.Print(err)
		os.Exit(1)
	}
}

func run(cfg *config, logger *log.Logger) error {
	// A garbage collector that knows the limit works harder near it; the platform would kill the process.
	debug.SetMemoryLimit(int64(cfg.proxy.Memory) * 6 / 10)
	loop, err := net.NewLoop()
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to stop
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	p := proxy.New(loop, cfg.proxy, logger)
	if err := openAddresses(p, cfg); err != nil {
		return err
	}
	p.Follow(cfg.coordinator, cfg.Known.Index)
	return p.Run(proxy.Orders{Stop: stop, Reload: reload, Read: func() (netip.AddrPort, error) {
		now, err := load(os.Getenv)
		if err != nil {
			return netip.AddrPort{}, err
		}
		if kept := cfg.keeps(now); kept != "" {
			logger.Printf("changed in the configuration, and taken over at the next start only: %s", kept)
		}
		return now.coordinator, nil
	}})
}

// openAddresses listens for clients and operators.
func openAddresses(p *proxy.Proxy, cfg *config) (err error) {
	most := proxy.ClientSockets(cfg.Limits.Sockets)
	if cfg.inherited != 0 {
		err = p.ListenOn(cfg.inherited, most)
	} else {
		err = p.Listen(cfg.listen, most)
	}
	if err != nil || cfg.Admin == "" {
		return err
	}
	return p.ListenAdmin(cfg.admin)
}

// keeps names what differs in a configuration read later and holds until the next start all the same. Sockets,
// limits and the module's settings are fixed while the proxy runs; only the coordinator's address is taken over.
// The known events are not among them: every one since is told by the coordinator.
func (c *config) keeps(later *config) string {
	var names []string
	for _, field := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == later.Name},
		{"listen", c.listen == later.listen},
		{"admin_addr", c.admin == later.admin},
		{"limits", c.Limits == later.Limits},
		{"settings", bytes.Equal(c.Settings, later.Settings)},
	} {
		if !field.same {
			names = append(names, field.name)
		}
	}
	return strings.Join(names, ", ")
}

// load reads the configuration. The environment's address and name go before the file's.
func load(env func(string) string) (*config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if listen := env("BALANCER_LISTEN"); listen != "" {
		c.Listen = listen
	}
	if admin := env("BALANCER_ADMIN_ADDR"); admin != "" {
		c.Admin = admin
	}
	if fd := env("BALANCER_LISTEN_FD"); fd != "" {
		if c.inherited, err = strconv.Atoi(fd); err != nil || c.inherited <= 2 {
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
	for _, ev := range c.Known.Updates {
		if err := ev.Check(); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	set, err := settings.Decode(c.Settings)
	if err != nil {
		return err
	}
	if len(set.Policy.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	c.proxy = proxy.Config{Settings: set, Seed: seed, Known: c.Known, Sockets: c.Limits.Sockets,
		Memory: c.Limits.MemoryMB << 20, Flow: c.Flow}
	if c.inherited != 0 { // for a while, two processes share the limits
		c.proxy.Sockets, c.proxy.Memory = c.proxy.Sockets/2, c.proxy.Memory/2
	}
	return nil
}
