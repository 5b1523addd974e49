package settings

import "testing"

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
