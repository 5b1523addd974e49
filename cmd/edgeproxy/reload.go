package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"

	"cloverdoor/internal/proxy"
	"cloverdoor/internal/settings"
)

// reloader returns a function that reads the configuration again and leaves the one in use unchanged. That
// function returns another, which must run on the event loop's goroutine: it checks the new configuration against
// the one in use and, if it is valid, puts it into use.
func (c *config) reloader(logger *slog.Logger) func() (proxy.PrepareUpdateFunc, error) {
	return func() (proxy.PrepareUpdateFunc, error) {
		laterConfig, err := loadConfig(os.Getenv)
		if err != nil {
			return nil, err
		}
		return func() (proxy.ConfigUpdate, error) { return c.replaceWith(laterConfig, logger) }, nil
	}
}

// replaceWith checks a configuration that was read later and, if it is valid, puts it into use.
func (c *config) replaceWith(laterConfig *config, logger *slog.Logger) (proxy.ConfigUpdate, error) {
	if err := c.checkReplacement(laterConfig); err != nil {
		return proxy.ConfigUpdate{}, err
	}
	if fields := c.restartOnlyChanges(laterConfig); fields != "" {
		logger.Warn("configuration changes need a restart", "fields", fields)
	}
	c.fields = laterConfig.fields
	c.proxy.Settings = laterConfig.proxy.Settings
	return proxy.ConfigUpdate{
		Coordinator:            laterConfig.coordinatorAddr,
		Settings:               laterConfig.proxy.Settings,
		TransferBytesPerSecond: laterConfig.TransferBytesPerSecond,
	}, nil
}

// checkReplacement checks whether a later configuration may replace this one. The later one must have every key of
// this one that is not optional: a file that lacks a key would otherwise silently reset values to their defaults.
func (c *config) checkReplacement(laterConfig *config) error {
	if err := fileKeys().CheckReplacement(c.fields, laterConfig.fields); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return laterConfig.proxy.Settings.CheckAfter(c.proxy.Settings)
}

// fileKeys returns the keys of the configuration file. The events of known are not compared, as each kind of event
// has keys of its own.
func fileKeys() settings.Keys {
	return settings.Keys{
		"name":             {},
		"listen":           {},
		"admin_addr":       {},
		"seed":             {},
		"limits":           {Fields: settings.Keys{"cores": {}, "memory_mb": {}, "sockets": {}}},
		"coordinator":      {},
		"flow_bytes_per_s": {},
		"link_bytes_per_s": {},
		"known":            {Fields: settings.Keys{"index": {}, "updates": {}}},
		"settings":         {Fields: settings.DocumentKeys()},
	}
}

// restartOnlyChanges returns the names of the fields that differ in a later configuration but take effect only at
// the next start: the name, the addresses and the limits are fixed while the proxy runs. The settings, the
// transfer rate and the coordinator's address take effect at once. The seed and the initial state are not
// compared, as they are used only at the start and the coordinator has reported all changes since.
func (c *config) restartOnlyChanges(laterConfig *config) string {
	var names []string
	for _, field := range []struct {
		name    string
		changed bool
	}{
		{"name", c.Name != laterConfig.Name},
		{"listen", c.listenAddr != laterConfig.listenAddr},
		{"admin_addr", c.adminAddr != laterConfig.adminAddr},
		{"limits", c.Limits != laterConfig.Limits},
	} {
		if field.changed {
			names = append(names, field.name)
		}
	}
	return strings.Join(names, ", ")
}
