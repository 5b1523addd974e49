package settings

import (
	"strings"
	"testing"

	"cloverdoor/policy"
)

// Hubs are told by zone; without them nothing is told.
func TestHubsAreDecoded(t *testing.T) {
	for _, c := range []struct {
		conf string
		want int
	}{{`{"domain":{"attached-to":[0,1,2,1]}}`, 4}, {`{"domain":{}}`, 0}, {`{"domain":{"attached-to":null}}`, 0}} {
		s, err := Decode([]byte(c.conf))
		if err != nil || len(s.Policy.ZoneHubs) != c.want || c.want > 0 && s.Policy.ZoneHubs[3] != 1 {
			t.Errorf("%s: %v %v", c.conf, s.Policy.ZoneHubs, err)
		}
	}
}

// Connections are dear where their handshakes are priced.
func TestHandshakePriceIsDecoded(t *testing.T) {
	for conf, want := range map[string]bool{`{"costs":{"handshake":0.2}}`: true, `{"costs":{"handshake":0.0}}`: false, `{}`: false} {
		if s, err := Decode([]byte(conf)); err != nil || s.HandshakesPriced != want {
			t.Errorf("%s: %v, %v", conf, s.HandshakesPriced, err)
		}
	}
}

const whole = `{"classes":[{"name":"a","deadline-us":1},{"name":"w","semantics":"non_idempotent","deadline-us":1}],
	"domain":{"pass-on":[false,true]},"limits":{"max-attempts":2},"areas":["hub","edge"]}`

func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		was, is string
		want    bool
	}{
		{"", "", true},
		{`"max-attempts":2`, `"max-attempts":0`, false},
		{`"max-attempts":2`, `"max-attempts":-1`, false},
		{`"max-attempts":2`, `"max-open":2`, true}, // not told
		{`"deadline-us":1}]`, `"deadline-us":0}]`, false},
		{`"deadline-us":1}]`, `"deadline-us":-5}]`, false},
		{`"name":"w"`, `"name":"a"`, false},
		{`"name":"w"`, `"name":""`, false},
		{`"classes"`, `"others"`, false},
		{`"pass-on":[false,true]`, `"pass-on":[false]`, false}, // the write would look like a read
		{`"pass-on":[false,true]`, `"grace-for-us":[1,2,3]`, false},
		{`"areas"`, `"zone":1,"areas"`, true},
		{`"areas"`, `"zone":2,"areas"`, false},
		{`"areas"`, `"zone":-1,"areas"`, false}, // would end in a panic
		{`"areas"`, `"index":-1,"areas"`, false},
		{`"max-attempts":2`, `"max-open":-1`, false}, // would refuse everybody
		{`"max-attempts":2`, `"connect-timeout-us":-1`, false},
	} {
		s, err := Decode([]byte(strings.Replace(whole, tt.was, tt.is, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Check(); (err == nil) != tt.want {
			t.Errorf("%s for %s: %v", tt.is, tt.was, err)
		}
	}
}

func TestMissing(t *testing.T) {
	const was = `{"a":{"b":1,"c":null},"l":[{"n":"x","d":1,"o":2},{"n":"y","d":2}],"s":[1,2],"e":[]}`
	for later, want := range map[string]string{
		was: "",
		`{"a":{"b":2,"new":1},"l":[{"n":"z","d":9,"new":1}],"s":[],"e":[3]}`: "",
		`{"a":{},"l":[],"s":[],"e":[]}`:                                      ".a.b.",
		`{"a":{"b":"1"},"l":[],"s":[],"e":[]}`:                               ".a.b.",
		`{"a":{"b":null},"l":[],"s":[],"e":[]}`:                              ".a.b.",
		`{"a":[],"l":[],"s":[],"e":[]}`:                                      ".a.",
		`{"a":{"b":1},"l":[{"n":"x"}],"s":[],"e":[]}`:                        ".l[0].d.",
		`{"a":{"b":1},"s":[],"e":[]}`:                                        ".l.",
		`{"a":{"b":1},"l":{},"s":[],"e":[]}`:                                 ".l.",
		`{"a":{"b":1},"l":[7],"s":[],"e":[]}`:                                ".l[0].",
		`null`:                                                               ".",
	} {
		if got, err := MissingKey([]byte(was), []byte(later)); err != nil || got != want {
			t.Errorf("%s: %q %v, want %q", later, got, err, want)
		}
	}
	if _, err := MissingKey([]byte(was), []byte(was[:20])); err == nil {
		t.Error("a text that was cut off has passed")
	}
}

// The module knows zones and kinds by number: those in use keep theirs.
func TestCheckAfter(t *testing.T) {
	was := Settings{Zones: []string{"a", "b"}, Kinds: []string{"k"}}
	more := Settings{Zones: []string{"a", "b", "c"}, Kinds: []string{"k", "l"}}
	if err := more.CheckAfter(was); err != nil {
		t.Error(err)
	}
	for _, s := range []Settings{{Zones: []string{"b", "a"}, Kinds: was.Kinds}, {Zones: was.Zones}, {Policy: policy.Settings{Zone: 1}, Zones: was.Zones, Kinds: was.Kinds}} {
		if err := s.CheckAfter(was); err == nil {
			t.Errorf("%+v has passed", s)
		}
	}
}
