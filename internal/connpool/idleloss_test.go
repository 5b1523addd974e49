package connpool

import "testing"

// What is lost after one idle time is at risk after longer ones too, not after shorter ones, and is tried again.
func TestRisksByIdleTime(t *testing.T) {
	var r idleLossEstimates
	r.count(4, true)
	if r.maxUpTo(4) > maxLossShare {
		t.Error("one loss proves nothing")
	}
	r.count(4, true)
	for place, barred := range []bool{false, false, false, false, true, true, true} {
		if got := r.maxUpTo(place) > maxLossShare; got != barred {
			t.Errorf("place %d: %v after two losses at 4", place, got)
		}
	}
	for range 100 {
		r.decay()
	}
	if r.maxUpTo(6) > maxLossShare {
		t.Error("never tried again")
	}
	r.count(5, true)
	for range 10 {
		r.count(5, false)
	}
	r.count(5, true)
	if r.maxUpTo(5) > maxLossShare {
		t.Error("two losses in a dozen are no more than bad luck")
	}
}
