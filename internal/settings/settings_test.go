package settings

import (
	"slices"
	"strings"
	"testing"

	"cloverdoor/policy"
)

// Hubs are listed by zone. Without the key, or if it is null, they are unknown.
func TestHubsAreDecoded(t *testing.T) {
	for _, tt := range []struct {
		json string
		want []int
	}{
		{`{"domain":{"attached-to":[0,1,2,1]}}`, []int{0, 1, 2, 1}},
		{`{"domain":{}}`, nil},
		{`{"domain":{"attached-to":null}}`, nil},
	} {
		s, err := Decode([]byte(tt.json))
		if err != nil || !slices.Equal(s.Policy.ZoneHubs, tt.want) {
			t.Errorf("%s: hubs %v, error %v", tt.json, s.Policy.ZoneHubs, err)
		}
	}
}

// Handshakes are priced only if their price is greater than 0.
func TestHandshakePriceIsDecoded(t *testing.T) {
	for json, want := range map[string]bool{
		`{"costs":{"handshake":0.2}}`: true,
		`{"costs":{"handshake":0.0}}`: false,
		`{}`:                          false,
	} {
		s, err := Decode([]byte(json))
		if err != nil || s.HandshakesPriced != want {
			t.Errorf("%s: handshakes priced: %v, error %v", json, s.HandshakesPriced, err)
		}
	}
}

// validSettings is a settings object that TestCheck varies.
const validSettings = `{"classes":[{"name":"a","deadline-us":1},{"name":"w","semantics":"non_idempotent","deadline-us":1}],
	"domain":{"pass-on":[false,true]},"limits":{"max-attempts":2},"areas":["hub","edge"]}`

func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		old, replacement string
		want             bool
	}{
		{"", "", true},
		{`"max-attempts":2`, `"max-attempts":0`, false},
		{`"max-attempts":2`, `"max-attempts":-1`, false},
		{`"max-attempts":2`, `"max-open":2`, true}, // max-attempts is absent
		{`"deadline-us":1}]`, `"deadline-us":0}]`, false},
		{`"deadline-us":1}]`, `"deadline-us":-5}]`, false},
		{`"name":"w"`, `"name":"a"`, false},
		{`"name":"w"`, `"name":""`, false},
		{`"classes"`, `"others"`, false},
		{`"pass-on":[false,true]`, `"pass-on":[false]`, false}, // the write would count as cacheable
		{`"pass-on":[false,true]`, `"grace-for-us":[1,2,3]`, false},
		{`"areas"`, `"zone":1,"areas"`, true},
		{`"areas"`, `"zone":2,"areas"`, false},
		{`"areas"`, `"zone":-1,"areas"`, false}, // would cause a panic
		{`"areas"`, `"index":-1,"areas"`, false},
		{`"max-attempts":2`, `"max-open":-1`, false}, // would reject every request
		{`"max-attempts":2`, `"connect-timeout-us":-1`, false},
	} {
		s, err := Decode([]byte(strings.Replace(validSettings, tt.old, tt.replacement, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Check(); (err == nil) != tt.want {
			t.Errorf("with %s in place of %s: Check returned %v", tt.replacement, tt.old, err)
		}
	}
}

// Package policy knows zones and kinds by index, so those that are in use must keep their indices.
func TestCheckAfter(t *testing.T) {
	earlier := Settings{Zones: []string{"a", "b"}, Kinds: []string{"k"}}
	extended := Settings{Zones: []string{"a", "b", "c"}, Kinds: []string{"k", "l"}}
	if err := extended.CheckAfter(earlier); err != nil {
		t.Error(err)
	}
	for _, s := range []Settings{
		{Zones: []string{"b", "a"}, Kinds: earlier.Kinds},
		{Zones: earlier.Zones},
		{Policy: policy.Settings{Zone: 1}, Zones: earlier.Zones, Kinds: earlier.Kinds},
	} {
		if err := s.CheckAfter(earlier); err == nil {
			t.Errorf("%+v was accepted", s)
		}
	}
}
