package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
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

// MissingKey returns the path of a value in an earlier JSON text that a later one lacks or has with another
// type; "" if there is none. New keys are allowed, and so are lists that have become longer or shorter. Each
// element of a later list must have the keys that all elements of the earlier list have; keys that only some
// of them have are optional. A path is made of ".key" and "[index]" elements and ends with ".". The error is
// that of decoding one of the texts.
func MissingKey(earlier, later json.RawMessage) (string, error) {
	var earlierValue, laterValue any
	if err := json.Unmarshal(earlier, &earlierValue); err != nil {
		return "", err
	}
	if err := json.Unmarshal(later, &laterValue); err != nil {
		return "", err
	}
	return missingPath(earlierValue, laterValue), nil
}

// missingPath returns the path of one of the differences that MissingKey reports, relative to the two values:
// "." for a difference of the values themselves, "" if there is none.
func missingPath(earlier, later any) string {
	switch earlier := earlier.(type) {
	case nil:
		return "" // a null may become any value or be left out
	case map[string]any:
		return missingInObject(earlier, later)
	case []any:
		return missingInList(earlier, later)
	}
	if fmt.Sprintf("%T", earlier) != fmt.Sprintf("%T", later) {
		return "."
	}
	return ""
}

func missingInObject(earlier map[string]any, later any) string {
	laterObject, isObject := later.(map[string]any)
	if !isObject {
		return "."
	}
	for key, value := range earlier {
		path := missingPath(value, laterObject[key])
		if path != "" {
			return "." + key + path
		}
	}
	return ""
}

func missingInList(earlier []any, later any) string {
	laterList, isList := later.([]any)
	if !isList {
		return "."
	}
	shared := sharedKeys(earlier)
	for i, value := range laterList {
		path := missingPath(shared, value)
		if path != "" {
			return fmt.Sprintf("[%d]%s", i, path)
		}
	}
	return ""
}

// sharedKeys returns an object with the keys that all elements of a list have and with the first element's
// values. It returns nil if the list is empty or an element is not an object.
func sharedKeys(list []any) any {
	if len(list) == 0 {
		return nil
	}
	first, isObject := list[0].(map[string]any)
	if !isObject {
		return nil
	}
	shared := maps.Clone(first)
	for _, value := range list[1:] {
		object, isObject := value.(map[string]any)
		if !isObject {
			return nil
		}
		maps.DeleteFunc(shared, func(key string, _ any) bool {
			_, hasKey := object[key]
			return !hasKey
		})
	}
	return shared
}
