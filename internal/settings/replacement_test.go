package settings

import (
	"encoding/json"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// checkReplacement compares two JSON objects.
func checkReplacement(t *testing.T, keys Keys, earlier, later string) error {
	t.Helper()
	var earlierObject, laterObject Object
	if err := json.Unmarshal([]byte(earlier), &earlierObject); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(later), &laterObject); err != nil {
		t.Fatal(err)
	}
	return keys.CheckReplacement(earlierObject, laterObject)
}

// errorText returns the text of an error; "" if there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// The test covers missing and new keys, values of other types, and lists and their elements.
func TestMissingKey(t *testing.T) {
	keys := merge(namedKeys("s", "e"), Keys{
		"a": {Fields: namedKeys("b", "c")},
		"l": {Fields: namedKeys("n", "d", "o")},
	})
	const earlier = `{"a": {"b":1, "c":null}, "l":[ {"n":"x","d":1,"o":2}, {"n":"y","d":2} ], "s":[1,2], "e":[]}`
	for later, want := range map[string]string{
		earlier: "",
		`{"a":{"b":2,"new":1},"l":[{"n":"z","d":9,"new":1}],"s":[],"e":[3]}`: "",
		`{"a":{},"l":[],"s":[],"e":[]}`:                                      "a.b is missing",
		`{"a":{"b":"1"},"l":[],"s":[],"e":[]}`:                               "a.b has type string; it had type number",
		`{"a":{"b":null},"l":[],"s":[],"e":[]}`:                              "a.b is missing",
		`{"a":[],"l":[],"s":[],"e":[]}`:                                      "a has type list; it had type object",
		`{"a":{"b":1},"l":[{"n":"x"}],"s":[],"e":[]}`:                        "l[0].d is missing",
		`{"a":{"b":1},"l":[{"n":"x","d":1},{"n":"y"}],"s":[],"e":[]}`:        "l[1].d is missing",
		`{"a":{"b":1},"s":[],"e":[]}`:                                        "l is missing",
		`{"a":{"b":1},"l":{},"s":[],"e":[]}`:                                 "l has type object; it had type list",
		`{"a":{"b":1},"l":[7],"s":[],"e":[]}`:                                "l[0] has type number; it had type object",
		`{"a":{"b":1},"l":[null],"s":[],"e":[]}`:                             "l[0] is missing",
		`null`:                                                               "a is missing",
	} {
		if got := errorText(checkReplacement(t, keys, earlier, later)); got != want {
			t.Errorf("%s: error %q, want %q", later, got, want)
		}
	}
	if err := keys.CheckReplacement(Object{"a": []byte(earlier[:9])}, Object{"a": []byte(earlier)}); err == nil {
		t.Error("truncated JSON was accepted")
	}
}

// The operators' pages let classes do without aim-stretch, say that costs have fleet only at some sites, and want
// unknown keys ignored: such keys may come and go, also in a class that is new. All of them were demanded for ever
// once they had been there.
func TestOptionalAndUnknownKeysMayVanish(t *testing.T) {
	const earlier = `{"classes":[{"name":"a","gain":1,"aim-stretch":2,"note":"x"}],"costs":{"fleet":1,"waste":0},"novelty":{"a":1}}`
	for _, later := range []string{
		`{"classes":[{"name":"a","gain":1}],"costs":{"waste":0}}`,
		`{"classes":[{"name":"a","gain":1,"aim-stretch":null}],"costs":{"fleet":null,"waste":0}}`,
		`{"classes":[{"name":"a","gain":1,"aim-stretch":2},{"name":"b","gain":1}],"costs":{"fleet":2,"waste":1},"novelty":7}`,
	} {
		if err := checkReplacement(t, DocumentKeys(), earlier, later); err != nil {
			t.Errorf("%s: %v", later, err)
		}
	}
	for later, want := range map[string]string{
		`{"classes":[{"name":"a","gain":1,"aim-stretch":"2"}],"costs":{"waste":0}}`: "classes[0].aim-stretch has type string; it had type number",
		`{"classes":[{"name":"a","aim-stretch":2}],"costs":{"waste":0}}`:            "classes[0].gain is missing",
		`{"classes":[{"name":"a","gain":1}],"costs":{"fleet":1}}`:                   "costs.waste is missing",
	} {
		if got := errorText(checkReplacement(t, DocumentKeys(), earlier, later)); got != want {
			t.Errorf("%s: error %q, want %q", later, got, want)
		}
	}
}

// A settings object that lacks any one of its keys is incomplete, unless that key is optional.
func TestEachRequiredKeyIsDemanded(t *testing.T) {
	optional := checkEachKeyMissing(t, DocumentKeys(), DocumentKeys(), "", func(inner any) any { return inner })
	want := []string{"classes[].aim-stretch", "costs.fleet"}
	if !slices.Equal(optional, want) {
		t.Errorf("optional keys: %v, want %v", optional, want)
	}
}

// lists are the keys of the settings object whose value is a list of objects.
var lists = map[string]bool{"classes": true, "tenants": true}

// exampleOf returns an object that has all keys.
func exampleOf(keys Keys) map[string]any {
	object := map[string]any{}
	for name, key := range keys {
		switch {
		case lists[name]:
			object[name] = []any{exampleOf(key.Fields), exampleOf(key.Fields)}
		case key.Fields != nil:
			object[name] = exampleOf(key.Fields)
		default:
			object[name] = 1
		}
	}
	return object
}

// checkEachKeyMissing checks, for each key at a path and below, that the settings are rejected without it, and returns
// those without which they are accepted. embed returns the settings object that holds the given value at the path.
func checkEachKeyMissing(t *testing.T, all, keys Keys, path string, embed func(inner any) any) (optional []string) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		without := exampleOf(keys)
		delete(without, name)
		err := checkReplacement(t, all, encode(t, exampleOf(all)), encode(t, embed(without)))
		var keyError *KeyError
		if err != nil && !errors.As(err, &keyError) {
			t.Errorf("without %s%s: %v", path, name, err)
		}
		if err == nil {
			optional = append(optional, path+name)
		}
		fields := keys[name].Fields
		if fields == nil {
			continue
		}
		fieldsPath := path + name + "."
		if lists[name] {
			fieldsPath = path + name + "[]."
		}
		optional = append(optional, checkEachKeyMissing(t, all, fields, fieldsPath, func(inner any) any {
			object := exampleOf(keys)
			object[name] = inner
			if lists[name] {
				object[name] = []any{exampleOf(fields), inner}
			}
			return embed(object)
		})...)
	}
	return optional
}

func encode(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// All keys that the program decodes are among those that a replacement is checked for.
func TestDecodedKeysAreDocumented(t *testing.T) {
	checkDecodedKeys(t, reflect.TypeFor[document](), DocumentKeys(), "")
}

func checkDecodedKeys(t *testing.T, structType reflect.Type, keys Keys, path string) {
	t.Helper()
	for i := range structType.NumField() {
		field := structType.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		key, documented := keys[name]
		if !documented {
			t.Errorf("%s%s is not documented", path, name)
			continue
		}
		fieldType := field.Type
		if fieldType.Kind() == reflect.Slice {
			fieldType = fieldType.Elem()
		}
		if fieldType.Kind() == reflect.Struct {
			checkDecodedKeys(t, fieldType, key.Fields, path+name+".")
		}
	}
}
