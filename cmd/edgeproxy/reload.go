package main

import (
	"fmt"
	"log/slog"
	"strings"

	"cloverdoor/internal/proxy"
	"cloverdoor/internal/settings"
)

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
