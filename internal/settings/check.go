package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Check says whether a real proxy can serve by the settings. A list by class that is too short would make a write
// that must not run twice look like a read.
func (s Settings) Check() error {
	c := s.read
	if len(c.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	names := map[string]bool{}
	for _, k := range c.Classes {
		if k.Name == "" || names[k.Name] {
			return fmt.Errorf("settings: class %q is unnamed or named twice", k.Name)
		}
		names[k.Name] = true
		if k.Deadline != nil && *k.Deadline <= 0 || k.Promise < 0 {
			return fmt.Errorf("settings: class %q: deadline-us must be over 0, promise-us not under it", k.Name)
		}
	}
	if n := c.Limits.MaxAttempts; n != nil && *n <= 0 {
		return fmt.Errorf("settings: max-attempts is %d; it must be over 0", *n)
	}
	if err := s.checkNumbers(); err != nil {
		return err
	}
	for name, n := range map[string]int{
		"class-fresh-us": len(c.Domain.Fresh), "grace-for-us": len(c.Domain.Grace), "pass-on": len(c.Domain.PassOn),
	} {
		if n != 0 && n != len(c.Classes) {
			return fmt.Errorf("settings: %s has %d entries for %d classes", name, n, len(c.Classes))
		}
	}
	return nil
}

// checkNumbers looks for what would stop the proxy or keep it from serving anybody.
func (s Settings) checkNumbers() error {
	c := s.read
	if c.Zone < 0 || c.Zone >= max(1, len(c.Areas)) {
		return fmt.Errorf("settings: zone %d is not among the %d areas", c.Zone, len(c.Areas))
	}
	for name, n := range map[string]int64{
		"index": int64(c.Index), "group-size": int64(c.GroupSize), "max-open": int64(c.Limits.MaxOpen),
		"streams-per-conn": int64(c.Limits.StreamsPerConn), "conn-idle-us": c.Limits.ConnIdle,
		"connect-timeout-us": c.Limits.ConnectTimeout,
	} {
		if n < 0 {
			return fmt.Errorf("settings: %s is %d; it must not be under 0", name, n)
		}
	}
	return nil
}

// CheckAfter says whether the settings may follow earlier ones while the proxy runs. Where it stands, and the numbers
// by which members are known, can't change under it.
func (s Settings) CheckAfter(earlier Settings) error {
	switch {
	case s.Policy.Zone != earlier.Policy.Zone:
		return errors.New("settings: zone has changed")
	case !begins(s.Zones, earlier.Zones):
		return errors.New("settings: areas have changed")
	case !begins(s.Kinds, earlier.Kinds):
		return errors.New("settings: host-types have changed")
	}
	return nil
}

// begins says whether a list begins with another.
func begins(list, with []string) bool {
	return len(list) >= len(with) && slices.Equal(list[:len(with)], with)
}

// MissingKey returns the path of a value of an earlier JSON text that a later one lacks, or has with another type; ""
// if there is none. The elements of a list must have what all elements of the earlier one have: classes differ in
// what they are told. Keys that are new, and longer or shorter lists, are no fault.
func MissingKey(earlier, later json.RawMessage) (string, error) {
	var values [2]any
	for i, text := range []json.RawMessage{earlier, later} {
		if err := json.Unmarshal(text, &values[i]); err != nil {
			return "", err
		}
	}
	return missing(values[0], values[1]), nil
}

func missing(earlier, later any) string {
	switch was := earlier.(type) {
	case nil:
		return ""
	case map[string]any:
		is, ok := later.(map[string]any)
		if !ok {
			return "."
		}
		for name, value := range was {
			if path := missing(value, is[name]); path != "" {
				return "." + name + path
			}
		}
		return ""
	case []any:
		is, ok := later.([]any)
		if !ok {
			return "."
		}
		shared := common(was)
		for i, value := range is {
			if path := missing(shared, value); path != "" {
				return fmt.Sprintf("[%d]%s", i, path)
			}
		}
		return ""
	}
	if fmt.Sprintf("%T", earlier) != fmt.Sprintf("%T", later) {
		return "."
	}
	return ""
}

// common returns an element of a list with only the keys that all elements have; nil: they have nothing in common.
func common(list []any) any {
	var shared map[string]any
	for i, value := range list {
		fields, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			shared = map[string]any{}
			for name, value := range fields {
				shared[name] = value
			}
		}
		for name := range shared {
			if _, ok := fields[name]; !ok {
				delete(shared, name)
			}
		}
	}
	if shared == nil {
		return nil
	}
	return shared
}
