package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"

	"cloverdoor/internal/dedup"
	"cloverdoor/internal/proxy"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
)

const (
	minMemoryMB = 16
	minSockets  = 64
	// firstInheritableFD is the first descriptor after standard input, output and error.
	firstInheritableFD = 3
	// overlappingProcesses is the number of processes of one proxy that run at the same time while a new one
	// replaces the old one on the listening socket that both inherit. The memory limit and the descriptors for
	// connections to caches, parents and the origin are divided among them; those for client connections are not.
	overlappingProcesses = 2
)

// config holds the configuration: the file that BALANCER_CONFIG names, overridden by the environment, and the
// values decoded from it.
type config struct {
	Name   string `json:"name"`       // name of this instance in the log
	Listen string `json:"listen"`     // address for clients
	Admin  string `json:"admin_addr"` // address for operators; empty: none
	Seed   string `json:"seed"`       // hexadecimal seed of the random decisions
	Limits struct {
		MemoryMB int `json:"memory_mb"` // MiB
		Sockets  int `json:"sockets"`   // descriptors
	} `json:"limits"`
	Coordinator            string             `json:"coordinator"`
	TransferBytesPerSecond float64            `json:"flow_bytes_per_s"` // rate of one transfer; 0: unknown
	KnownState             watch.InitialState `json:"known"`            // endpoints and purges known at the start
	Settings               json.RawMessage    `json:"settings"`

	fields map[string]json.RawMessage // top-level fields of the file, not decoded

	listenAddr, adminAddr, coordinatorAddr netip.AddrPort // parsed from Listen, Admin and Coordinator
	inheritedListenFD                      int            // descriptor of the inherited listening socket for clients; 0: none
	proxy                                  proxy.Config
}

// loadConfig reads and checks the configuration. Environment variables take precedence over the file.
func loadConfig(env func(name string) string) (*config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var c config
	if err := c.decode(text); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := c.applyEnvironment(env); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return &c, nil
}

// decode decodes the file, and keeps its fields for comparison at a reload.
func (c *config) decode(text []byte) error {
	if err := json.Unmarshal(text, c); err != nil {
		return err
	}
	return json.Unmarshal(text, &c.fields)
}

// applyEnvironment overrides values with those of the environment variables that are set.
func (c *config) applyEnvironment(env func(name string) string) error {
	for _, override := range []struct {
		variable string
		value    *string
	}{
		{"BALANCER_LISTEN", &c.Listen},
		{"BALANCER_ADMIN_ADDR", &c.Admin},
		{"BALANCER_NAME", &c.Name},
	} {
		if value := env(override.variable); value != "" {
			*override.value = value
		}
	}
	text := env("BALANCER_LISTEN_FD")
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritableFD {
		return fmt.Errorf("BALANCER_LISTEN_FD: %q is not an inheritable descriptor", text)
	}
	c.inheritedListenFD = fd
	return nil
}

// check parses the values that the file holds as text, checks all values and sets c.proxy.
func (c *config) check() error {
	if err := c.parseAddresses(); err != nil {
		return err
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if c.Limits.MemoryMB < minMemoryMB || c.Limits.Sockets < minSockets {
		return fmt.Errorf("limits: memory_mb must be %d or more and sockets %d or more", minMemoryMB, minSockets)
	}
	decodedSettings, err := settings.Decode(c.Settings)
	if err != nil {
		return err
	}
	if err := decodedSettings.Check(); err != nil {
		return err
	}
	c.proxy = proxy.Config{
		Settings:               decodedSettings,
		Seed:                   seed,
		InitialState:           c.KnownState,
		MaxDescriptors:         c.Limits.Sockets,
		MaxMemoryBytes:         c.Limits.MemoryMB << 20,
		TransferBytesPerSecond: c.TransferBytesPerSecond,
	}
	if c.inheritedListenFD != 0 {
		c.proxy.MaxDescriptors /= overlappingProcesses
		c.proxy.MaxMemoryBytes /= overlappingProcesses
		c.proxy.Settings.Policy.ProcessesPerRouter = overlappingProcesses
	}
	return nil
}

// claimedIDsFile is the name of the file in $TMPDIR with the ids of writes that processes share which serve on one socket.
const claimedIDsFile = "claimed-request-ids"

// openClaimedIDs returns the table of the ids of writes. It is shared if another process may serve on the same socket, and
// the platform has given both a folder in memory. A file that can't be used is logged: writes are then remembered by this
// process alone.
func (c *config) openClaimedIDs(env func(name string) string, logger *slog.Logger) *dedup.Table {
	folder := env("TMPDIR")
	if c.inheritedListenFD == 0 || folder == "" {
		return dedup.New()
	}
	table, err := dedup.Open(filepath.Join(folder, claimedIDsFile))
	if err != nil {
		logger.Warn("ids of writes are not shared with other processes", "error", err)
		return dedup.New()
	}
	return table
}

// parseAddresses parses the addresses for clients, for operators and of the coordinator.
func (c *config) parseAddresses() (err error) {
	c.listenAddr, err = netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.Admin != "" {
		c.adminAddr, err = netip.ParseAddrPort(c.Admin)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
	}
	c.coordinatorAddr, err = netip.ParseAddrPort(c.Coordinator)
	if err != nil {
		return fmt.Errorf("coordinator: %w", err)
	}
	return nil
}
