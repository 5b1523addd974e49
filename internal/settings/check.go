package settings

import (
	"errors"
	"fmt"
)

// Check returns an error if a proxy cannot serve requests with the settings.
func (s Settings) Check() error {
	if err := s.document.checkClasses(); err != nil {
		return err
	}
	maxAttempts := s.document.Limits.MaxAttempts
	if maxAttempts != nil && *maxAttempts <= 0 {
		return fmt.Errorf("settings: max-attempts is %d; it must be greater than 0", *maxAttempts)
	}
	if err := s.document.checkNumbers(); err != nil {
		return err
	}
	return s.document.checkListsByClass()
}

// checkClasses checks that there are classes, that their names are unique, and that their deadlines and
// latency objectives are in range.
func (d *document) checkClasses() error {
	if len(d.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	names := map[string]bool{}
	for _, class := range d.Classes {
		if class.Name == "" || names[class.Name] {
			return fmt.Errorf("settings: class %q has an empty or duplicate name", class.Name)
		}
		names[class.Name] = true
		if class.Deadline != nil && *class.Deadline <= 0 || class.LatencyObjective < 0 {
			return fmt.Errorf("settings: class %q: deadline-us must be greater than 0 and promise-us must not be negative", class.Name)
		}
	}
	return nil
}

// checkNumbers checks the numbers that, if out of range, would make the proxy crash or keep it from serving any
// request.
func (d *document) checkNumbers() error {
	if d.Zone < 0 || d.Zone >= max(1, len(d.Zones)) {
		return fmt.Errorf("settings: zone is %d, out of range for %d areas", d.Zone, len(d.Zones))
	}
	for _, number := range []struct {
		key   string
		value int64
	}{
		{"index", int64(d.RouterIndex)},
		{"group-size", int64(d.Routers)},
		{"max-open", int64(d.Limits.MaxOpenRequests)},
		{"streams-per-conn", int64(d.Limits.MaxStreamsPerConn)},
		{"conn-idle-us", int64(d.Limits.ServerIdleTimeout)},
		{"connect-timeout-us", int64(d.Limits.ConnectTimeout)},
	} {
		if number.value < 0 {
			return fmt.Errorf("settings: %s is %d; it must not be negative", number.key, number.value)
		}
	}
	return nil
}

// checkListsByClass checks that each list by class is absent or complete. A missing element would count as
// false or 0: a write would be sent to a cache as if it were cacheable.
func (d *document) checkListsByClass() error {
	for _, list := range []struct {
		key    string
		length int
	}{
		{"class-fresh-us", len(d.Domain.FreshFor)},
		{"grace-for-us", len(d.Domain.StaleFor)},
		{"pass-on", len(d.Domain.Uncacheable)},
	} {
		if list.length != 0 && list.length != len(d.Classes) {
			return fmt.Errorf("settings: %s has %d entries for %d classes", list.key, list.length, len(d.Classes))
		}
	}
	return nil
}
