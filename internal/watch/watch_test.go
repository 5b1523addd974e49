package watch

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
)

func TestDecode(t *testing.T) {
	group := 0
	endpoint := Endpoint{
		ID: "s-1", Addr: "10.1.0.9:7001", Zone: "east", Kind: "std", Cell: 2,
		State: StateServing, Weight: 4, StartedMillis: 5,
	}
	for _, tt := range []struct {
		line          string
		want          Event
		wantHeartbeat bool
	}{
		{
			line: `{"index":41,"endpoints":{"version":7,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.9:7001",` +
				`"zone":"east","kind":"std","cell":2,"state":"SERVING","weight":4,"started_ms":5}]}}`,
			want: Event{Index: 41, Endpoints: &EndpointUpdate{Full: true, Endpoints: []Endpoint{endpoint}}},
		},
		{
			line: `{"index":42,"evict":{"ref":"7f3a","unix_ms":1764576000123}}`,
			want: Event{Index: 42, Purge: &Purge{Object: "7f3a", AtMillis: 1764576000123}},
		},
		{
			line: `{"index":43,"evict":{"shard":0,"unix_ms":1}}`,
			want: Event{Index: 43, Purge: &Purge{Group: &group, AtMillis: 1}},
		},
		{line: "43", want: Event{Index: 43}, wantHeartbeat: true},
		{line: "43\r", want: Event{Index: 43}, wantHeartbeat: true},
		{line: `{"index":43}`, want: Event{Index: 43, Unreadable: 1}},
	} {
		got, err := Decode([]byte(tt.line))
		if err != nil {
			t.Errorf("%q: %v", tt.line, err)
		}
		if !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%q: got %+v, want %+v", tt.line, got, tt.want)
		}
		if got.IsHeartbeat() != tt.wantHeartbeat {
			t.Errorf("%q: IsHeartbeat is %v", tt.line, got.IsHeartbeat())
		}
	}
	if _, err := Decode([]byte("43 44")); !errors.Is(err, ErrMalformed) {
		t.Errorf("a line of two numbers: got error %v, want ErrMalformed", err)
	}
}

func TestMalformedLines(t *testing.T) {
	for _, line := range []string{
		"", "hello", "-1", "{", "[]", "{}", `{"index":-3}`, `{"index":"1"}`, `{"evict":{"ref":"x","unix_ms":1}}`,
	} {
		if ev, err := Decode([]byte(line)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: got event %+v, error %v, want ErrMalformed", line, ev, err)
		}
	}
}

// An unreadable entry of an endpoint list does not hide the others and is counted. If it has an ID, the
// endpoint is decoded as deleted.
func TestUnreadableEndpoints(t *testing.T) {
	const readableEntry = `{"id":"b","addr":"10.1.0.9:7001","zone":"east","kind":"std","state":"SERVING","weight":4}`
	deletedEndpoint := func(id string) Endpoint { return Endpoint{ID: id, State: StateDeleted} }
	for entry, want := range map[string][]Endpoint{
		`{"id":"a"}`:                                   {deletedEndpoint("a")},
		`{"id":"a","state":"RESTING"}`:                 {deletedEndpoint("a")},
		`{"id":"a","state":7}`:                         {deletedEndpoint("a")},
		`{"id":"a","state":"SERVING","weight":"much"}`: {deletedEndpoint("a")},
		`{"state":"SERVING"}`:                          {},
		`{"id":7,"state":"SERVING"}`:                   {},
		`"a"`:                                          {},
	} {
		ev, err := Decode([]byte(`{"index":4,"endpoints":{"full":true,"servers":[` + entry + "," + readableEntry + `]}}`))
		if err != nil || ev.Index != 4 || ev.Unreadable != 1 || ev.IsHeartbeat() || !ev.Endpoints.Full {
			t.Fatalf("%s: got event %+v, error %v, want a full list with 1 unreadable entry", entry, ev, err)
		}
		endpoints := ev.Endpoints.Endpoints
		last := len(endpoints) - 1
		if !slices.Equal(endpoints[:last], want) || endpoints[last].ID != "b" || endpoints[last].State != StateServing {
			t.Errorf("%s: got endpoints %+v", entry, endpoints)
		}
	}
}

// A purge that is malformed or has no target becomes a purge of everything and counts as unreadable.
func TestUnreadablePurges(t *testing.T) {
	for _, purge := range []string{`{}`, `{"unix_ms":5}`, `{"shard":"x","unix_ms":5}`, `7`, `[]`} {
		ev, err := Decode([]byte(`{"index":4,"evict":` + purge + `}`))
		if err != nil || ev.Unreadable != 1 || ev.Purge == nil || *ev.Purge != (Purge{}) {
			t.Errorf("%s: got event %+v, error %v, want a purge of everything that counts as unreadable", purge, ev, err)
		}
	}
}

// A part that is malformed or unknown does not hide the others and counts as unreadable; null is no part. An
// event without any part is not a heartbeat, which is a number alone, and counts as unreadable.
func TestUnreadableParts(t *testing.T) {
	for _, line := range []string{`{"index":4,"endpoints":7}`, `{"index":4,"quota":{}}`} {
		if ev, err := Decode([]byte(line)); err != nil || ev.Unreadable != 1 || ev.IsHeartbeat() || ev.Index != 4 {
			t.Errorf("%s: got event %+v, error %v, want 1 unreadable part", line, ev, err)
		}
	}
	if ev, err := Decode([]byte(`{"index":4,"quota":null,"evict":null}`)); err != nil || ev.IsHeartbeat() ||
		ev.Unreadable != 1 {
		t.Errorf("event without parts: got %+v, error %v, want 1 unreadable part", ev, err)
	}
	if ev, err := Decode([]byte(`{"index":4,"quota":null,"evict":{"ref":"x"}}`)); err != nil || ev.Unreadable != 0 ||
		ev.Purge == nil {
		t.Errorf("null beside a purge: got %+v, error %v, want the purge alone", ev, err)
	}
}

func TestFraming(t *testing.T) {
	used, line, err := NextLine([]byte("one\ntwo"))
	if used != 4 || string(line) != "one" || err != nil {
		t.Errorf("complete line: used %d bytes, line %q, error %v, want the first line", used, line, err)
	}
	if used, _, err := NextLine([]byte("two")); used != 0 || err != nil {
		t.Errorf("incomplete line: used %d bytes, error %v, want 0 bytes", used, err)
	}
	if _, _, err := NextLine([]byte(strings.Repeat("x", MaxLineBytes+1))); !errors.Is(err, ErrMalformed) {
		t.Errorf("line over MaxLineBytes: got error %v, want ErrMalformed", err)
	}
	if got := string(EncodeFollow(7)); got != "follow 7\n" {
		t.Errorf("EncodeFollow(7) = %q, want index 7 and a line feed", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"index":42,"evict":{"ref":"7f3a","unix_ms":1}}`))
	f.Add([]byte("43"))
	f.Fuzz(func(t *testing.T, line []byte) {
		if ev, err := Decode(line); err == nil && ev.Index < 0 {
			t.Fatalf("negative index: %+v", ev)
		}
	})
}
