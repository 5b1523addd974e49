package connpool

import "testing"

// What is lost after one idle time is at risk after longer ones too, not after shorter ones, and is tried again.
func TestRisksByIdleTime(t *testing.T) {
	var r risks
	r.count(4, true)
	if r.after(4) > mostRisk {
		t.Error("one loss proves nothing")
	}
	r.count(4, true)
	for place, barred := range []bool{false, false, false, false, true, true, true} {
		if got := r.after(place) > mostRisk; got != barred {
			t.Errorf("place %d: %v after two losses at 4", place, got)
		}
	}
	for range 100 {
		r.fade()
	}
	if r.after(6) > mostRisk {
		t.Error("never tried again")
	}
	r.count(5, true)
	for range 10 {
		r.count(5, false)
	}
	r.count(5, true)
	if r.after(5) > mostRisk {
		t.Error("two losses in a dozen are no more than bad luck")
	}
}
