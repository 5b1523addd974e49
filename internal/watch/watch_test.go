package watch

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestLines(t *testing.T) {
	list, err := Decode([]byte(`{"index":41,"endpoints":{"version":7,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.9:7001",` +
		`"zone":"east","kind":"std","cell":2,"state":"SERVING","weight":4,"started_ms":5}]}}`))
	if err != nil || list.Index != 41 || !list.Endpoints.Full || list.Endpoints.Endpoints[0] != (Endpoint{"s-1", "10.1.0.9:7001", "east", "std", 2, StateServing, 4, 5}) {
		t.Errorf("%+v %v", list, err)
	}
	object, err := Decode([]byte(`{"index":42,"evict":{"ref":"7f3a","unix_ms":1764576000123}}`))
	if err != nil || object.Purge.Object != "7f3a" || object.Purge.At != 1764576000123 || object.IsHeartbeat() {
		t.Errorf("%+v %v", object, err)
	}
	group, err := Decode([]byte(`{"index":43,"evict":{"shard":0,"unix_ms":1}}`))
	if err != nil || *group.Purge.Group != 0 || group.Purge.Object != "" {
		t.Errorf("%+v %v", group, err)
	}
	for _, tick := range []string{"43", "43\r", `{"index":43}`} {
		if ev, err := Decode([]byte(tick)); err != nil || !ev.IsHeartbeat() || ev.Index != 43 {
			t.Errorf("%q: %+v %v", tick, ev, err)
		}
	}
}

func TestMalformedLines(t *testing.T) {
	for _, line := range []string{
		"", "hello", "-1", "{", "[]", "{}", `{"index":-3}`, `{"index":"1"}`, `{"evict":{"ref":"x","unix_ms":1}}`,
	} {
		if ev, err := Decode([]byte(line)); !errors.Is(err, ErrLine) {
			t.Errorf("%q was taken: %+v %v", line, ev, err)
		}
	}
}

// What can be read of an event is read; a server that is named and can't be read is gone, a purge of what can't be read
// is one of everything, and each such part is counted.
func TestUnreadableParts(t *testing.T) {
	const sound = `{"id":"b","addr":"10.1.0.9:7001","zone":"east","kind":"std","state":"SERVING","weight":4}`
	gone := func(id string) Endpoint { return Endpoint{ID: id, State: StateDeleted} }
	for entry, want := range map[string][]Endpoint{
		`{"id":"a"}`:                                   {gone("a")},
		`{"id":"a","state":"RESTING"}`:                 {gone("a")},
		`{"id":"a","state":7}`:                         {gone("a")},
		`{"id":"a","state":"SERVING","weight":"much"}`: {gone("a")},
		`{"state":"SERVING"}`:                          {},
		`{"id":7,"state":"SERVING"}`:                   {},
		`"a"`:                                          {},
	} {
		ev, err := Decode([]byte(`{"index":4,"endpoints":{"full":true,"servers":[` + entry + "," + sound + `]}}`))
		if err != nil || ev.Index != 4 || ev.Unreadable != 1 || ev.IsHeartbeat() || !ev.Endpoints.Full {
			t.Fatalf("%s: %+v %v", entry, ev, err)
		}
		list := ev.Endpoints.Endpoints
		if last := len(list) - 1; !slices.Equal(list[:last], want) || list[last].ID != "b" || list[last].State != StateServing {
			t.Errorf("%s: %+v", entry, list)
		}
	}
	for _, evict := range []string{`{}`, `{"unix_ms":5}`, `{"shard":"x","unix_ms":5}`, `7`, `[]`} {
		ev, err := Decode([]byte(`{"index":4,"evict":` + evict + `}`))
		if err != nil || ev.Unreadable != 1 || ev.Purge == nil || *ev.Purge != (Purge{}) {
			t.Errorf("%s: %+v %v", evict, ev, err)
		}
	}
	for _, line := range []string{`{"index":4,"endpoints":7}`, `{"index":4,"quota":{}}`} {
		if ev, err := Decode([]byte(line)); err != nil || ev.Unreadable != 1 || ev.IsHeartbeat() || ev.Index != 4 {
			t.Errorf("%s: %+v %v", line, ev, err)
		}
	}
	if ev, err := Decode([]byte(`{"index":4,"quota":null,"evict":null}`)); err != nil || !ev.IsHeartbeat() {
		t.Errorf("%+v %v", ev, err)
	}
}

func TestNext(t *testing.T) {
	used, line, err := NextLine([]byte("one\ntwo"))
	if used != 4 || string(line) != "one" || err != nil {
		t.Errorf("%d %q %v", used, line, err)
	}
	if used, _, err := NextLine([]byte("two")); used != 0 || err != nil {
		t.Errorf("%d %v", used, err)
	}
	if _, _, err := NextLine([]byte(strings.Repeat("x", MaxLine+1))); !errors.Is(err, ErrLine) {
		t.Errorf("an endless line: %v", err)
	}
	if got := string(AppendFollow(7)); got != "follow 7\n" {
		t.Errorf("%q", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"index":42,"evict":{"ref":"7f3a","unix_ms":1}}`))
	f.Add([]byte("43"))
	f.Fuzz(func(t *testing.T, line []byte) {
		if ev, err := Decode(line); err == nil && ev.Index < 0 {
			t.Fatalf("%+v", ev)
		}
	})
}
