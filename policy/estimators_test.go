package policy

import (
	"math"
	"testing"
)

// A misindication ratio is the plain ratio in its first epoch, and changes only at the end of each later one.
func TestRatioIsSmoothedAfterFirstEpoch(t *testing.T) {
	var r misindicationRatio
	for i := 0; i < epochFills; i++ {
		r.add(i < 5)
	}
	epochRatio := 5.0 / epochFills
	if math.Abs(r.value-epochRatio) > 1e-9 {
		t.Fatalf("first epoch %v, want %v", r.value, epochRatio)
	}
	for i := 0; i < epochFills-1; i++ {
		r.add(true)
	}
	if math.Abs(r.value-epochRatio) > 1e-9 {
		t.Fatalf("value changed within an epoch, to %v", r.value)
	}
	r.add(true)
	if want := epochRatio + epochWeight*(1-epochRatio); math.Abs(r.value-want) > 1e-9 {
		t.Fatalf("second epoch %v, want %v", r.value, want)
	}
}

// A mean starts as the arithmetic mean: one large first request must not dominate its class. Incident
// iddf016.
func TestMeanOfFirstSamplesIsArithmetic(t *testing.T) {
	var m mean
	for _, v := range []float64{1, 3, 5} {
		m.add(v, requestSamples)
	}
	if m.value != 3 {
		t.Fatalf("mean of 1, 3 and 5 is %v, want 3", m.value)
	}
}
