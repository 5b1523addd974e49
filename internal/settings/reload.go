package settings

import (
	"errors"
	"slices"
)

// CheckAfter returns an error if the settings may not replace earlier ones while the proxy runs. The proxy's
// zone, and the indices by which zones and kinds are known, must not change; further zones and kinds may be
// added at the end.
func (s Settings) CheckAfter(earlier Settings) error {
	switch {
	case s.Policy.Zone != earlier.Policy.Zone:
		return errors.New("settings: zone has changed")
	case !hasPrefix(s.Zones, earlier.Zones):
		return errors.New("settings: areas have changed")
	case !hasPrefix(s.Kinds, earlier.Kinds):
		return errors.New("settings: host-types have changed")
	}
	return nil
}

func hasPrefix(list, prefix []string) bool {
	return len(list) >= len(prefix) && slices.Equal(list[:len(prefix)], prefix)
}
