package policy

// Estimators summarize a series of observations in one number: a mean that follows recent values, and the
// misindication ratio, on which the choice of the fill source is based. 'The paper' is cited in
// fillsource.go.

const (
	requestSamples   = 100 // window of the means of transfer times and priority weights, in requests
	firstByteSamples = 10  // window of the means of first-byte times, in fills
	missSamples      = 10  // window of the fraction of misses, in answers

	// epochFills is the number of fills and misses in an epoch of a misindicationRatio. The paper uses 100,
	// but a router rarely counts that many.
	epochFills = 20
	// epochWeight is the weight of a new epoch in a misindicationRatio. The paper uses 0.1, over more epochs.
	epochWeight = 0.3
)

// mean is the arithmetic mean of the first values and an exponentially weighted mean of later ones, so that a
// single early value does not dominate.
type mean struct{ value, count float64 }

// add adds a value. Beyond maxCount values, a new one has the weight 1/maxCount.
func (m *mean) add(value, maxCount float64) {
	m.count = min(m.count+1, maxCount)
	m.value += (value - m.value) / m.count
}

// misindicationRatio estimates the misindication ratio of a cache, 0 to 1: how often it misses an object that
// it was believed to have (Section VIII-B of the paper). It is the plain ratio in the first epoch, and is
// smoothed exponentially at the end of each later epoch.
type misindicationRatio struct {
	fills  int // fills and misses in this epoch
	misses int // misses in this epoch
	epochs int // completed epochs
	value  float64
}

// hasSamples reports whether there has been any observation.
func (r *misindicationRatio) hasSamples() bool { return r.fills+r.epochs > 0 }

// add counts a fill from the cache, or a miss of an object that the cache was believed to have.
func (r *misindicationRatio) add(missed bool) {
	r.fills++
	if missed {
		r.misses++
	}
	epochRatio := float64(r.misses) / float64(r.fills)
	epochComplete := r.fills == epochFills
	if r.epochs == 0 {
		r.value = epochRatio
	} else if epochComplete {
		r.value += epochWeight * (epochRatio - r.value)
	}
	if epochComplete {
		r.fills = 0
		r.misses = 0
		r.epochs++
	}
}
