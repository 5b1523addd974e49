package main

import (
	"encoding/json"
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
// this one: a file that was cut off or lacks a key would otherwise silently reset values to their defaults.
func (c *config) checkReplacement(laterConfig *config) error {
	for name, value := range c.fields {
		laterValue, present := laterConfig.fields[name]
		if !present {
			return fmt.Errorf("configuration: %s is missing", name)
		}
		if err := checkKeys(name, value, laterValue); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	return laterConfig.proxy.Settings.CheckAfter(c.proxy.Settings)
}

// checkKeys checks that a field's later value has all keys of the earlier one, with values of the same types.
// The initial state is exempt, as each kind of event in it has keys of its own.
func checkKeys(name string, earlierValue, laterValue json.RawMessage) error {
	if name == "known" {
		return nil
	}
	path, err := settings.MissingKey(earlierValue, laterValue)
	if err != nil {
		return err
	}
	if path != "" {
		return fmt.Errorf("%s%s is missing or of another type", name, path)
	}
	return nil
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
