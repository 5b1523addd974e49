package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"cloverdoor/internal/proxy"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
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
	Coordinator string             `json:"coordinator"`
	Flow        float64            `json:"flow_bytes_per_s"` // of one transfer
	Known       watch.InitialState `json:"known"`
	Settings    json.RawMessage    `json:"settings"`

	fields map[string]json.RawMessage // the file's, as they came

	listen, admin, coordinator netip.AddrPort
	inheritedListenFD          int // descriptor of the clients' listening socket; 0: none
	proxy                      proxy.Config
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
