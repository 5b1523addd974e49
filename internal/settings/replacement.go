package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Object is a JSON object whose values have not been decoded.
type Object map[string]json.RawMessage

// KeyError says why a configuration may not replace an earlier one: a key is missing, or its value is of another
// JSON type than before.
type KeyError struct {
	Path    string   // of the value, such as "settings.classes[2].name"
	Earlier JSONType // type of the value before
	Later   JSONType // type of the value now; TypeNull if the key is missing
}

func (e *KeyError) Error() string {
	if e.Later == TypeNull {
		return e.Path + " is missing"
	}
	return fmt.Sprintf("%s has type %s; it had type %s", e.Path, e.Later, e.Earlier)
}

// JSONType is the type of a JSON value.
type JSONType string

// The types of JSON values. An absent value counts as null.
const (
	TypeNull    JSONType = "null"
	TypeBoolean JSONType = "boolean"
	TypeNumber  JSONType = "number"
	TypeString  JSONType = "string"
	TypeList    JSONType = "list"
	TypeObject  JSONType = "object"
)

// typeOf returns the type of a value, which is valid JSON, or empty if it is absent.
func typeOf(value json.RawMessage) JSONType {
	if len(value) == 0 {
		return TypeNull
	}
	switch value[0] {
	case 'n':
		return TypeNull
	case 't', 'f':
		return TypeBoolean
	case '"':
		return TypeString
	case '[':
		return TypeList
	case '{':
		return TypeObject
	default:
		return TypeNumber
	}
}

// CheckReplacement checks that a later JSON object may replace an earlier one: it must have each key of k that the
// earlier one has, unless the key is optional, and values of the same types. Lists may become longer or shorter.
// Each element of a later list must have the keys that all elements of the earlier list have. The error is a
// *KeyError, or that of decoding one of the objects.
func (k Keys) CheckReplacement(earlier, later Object) error {
	return k.compareObjects("", earlier, later)
}

// compareObjects compares the keys of two objects in alphabetical order, so that the same objects always lead to the
// same error.
func (k Keys) compareObjects(path string, earlier, later Object) error {
	for _, name := range slices.Sorted(maps.Keys(k)) {
		key := k[name]
		if key.Optional && typeOf(later[name]) == TypeNull {
			continue
		}
		if err := key.Fields.compare(joinPath(path, name), earlier[name], later[name]); err != nil {
			return err
		}
	}
	return nil
}

// compare compares two values at a path. A null may become any value or be left out. The contents of objects and
// lists are not decoded if k is nil.
func (k Keys) compare(path string, earlier, later json.RawMessage) error {
	earlierType, laterType := typeOf(earlier), typeOf(later)
	switch {
	case earlierType == TypeNull:
		return nil
	case earlierType != laterType:
		return &KeyError{Path: path, Earlier: earlierType, Later: laterType}
	case k != nil && earlierType == TypeObject:
		return compareDecoded(path, earlier, later, k.compareObjects)
	case k != nil && earlierType == TypeList:
		return compareDecoded(path, earlier, later, k.compareLists)
	}
	return nil
}

// compareDecoded decodes two values by one level and compares them.
func compareDecoded[T any](path string, earlier, later json.RawMessage, compare func(path string, earlier, later T) error) error {
	var earlierValue, laterValue T
	if err := json.Unmarshal(earlier, &earlierValue); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := json.Unmarshal(later, &laterValue); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return compare(path, earlierValue, laterValue)
}

// compareLists compares each element of a later list with the keys that all elements of the earlier one have. If an
// element of the earlier list is not an object, the lists are not compared.
func (k Keys) compareLists(path string, earlier, later []json.RawMessage) error {
	shared, err := sharedKeys(earlier)
	if err != nil || shared == nil {
		return err
	}
	for i, element := range later {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		if laterType := typeOf(element); laterType != TypeObject {
			return &KeyError{Path: elementPath, Earlier: TypeObject, Later: laterType}
		}
		var object Object
		if err := json.Unmarshal(element, &object); err != nil {
			return fmt.Errorf("%s: %w", elementPath, err)
		}
		if err := k.compareObjects(elementPath, shared, object); err != nil {
			return err
		}
	}
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// sharedKeys returns an object with the keys that all elements of a list have and with the first element's
// values. It returns nil if the list is empty or an element is not an object.
func sharedKeys(list []json.RawMessage) (Object, error) {
	var shared Object
	for _, element := range list {
		if typeOf(element) != TypeObject {
			return nil, nil
		}
		var object Object
		if err := json.Unmarshal(element, &object); err != nil {
			return nil, err
		}
		if shared == nil {
			shared = object
			continue
		}
		maps.DeleteFunc(shared, func(key string, _ json.RawMessage) bool {
			_, hasKey := object[key]
			return !hasKey
		})
	}
	return shared, nil
}
