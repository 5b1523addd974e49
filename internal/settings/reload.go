package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

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
