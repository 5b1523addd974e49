package connpool

import "testing"

// Losses after one idle time count for longer idle times too, not for shorter ones, and decay.
func TestIdleLossEstimates(t *testing.T) {
	var e idleLossEstimates
	e.recordLoss(4)
	if e.maxUpTo(4) > maxLossFraction {
		t.Error("one loss exceeds the limit")
	}
	e.recordLoss(4)
	for bucket, want := range []bool{false, false, false, false, true, true, true} {
		if got := e.maxUpTo(idleBucket(bucket)) > maxLossFraction; got != want {
			t.Errorf("bucket %d exceeds the limit: %v, after two losses in bucket 4", bucket, got)
		}
	}
	for range 100 {
		e.decay()
	}
	if e.maxUpTo(6) > maxLossFraction {
		t.Error("the estimates have not decayed below the limit")
	}
	e.recordLoss(5)
	for range 10 {
		e.recordSuccess(5)
	}
	e.recordLoss(5)
	if e.maxUpTo(5) > maxLossFraction {
		t.Error("two losses in a dozen uses exceed the limit")
	}
}
