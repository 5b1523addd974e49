package policy

// Estimators summarize a series of observations in one number: a mean that follows recent values, and the
// ratio of misses that the fill-source rule is based on. 'The paper' is named in fillsource.go.

const (
	requestSamples   = 100 // requests over which means of sizes and weights extend
	firstByteSamples = 10  // fills over which means of first-byte times extend
	missSamples      = 10  // answers over which the fraction of unexpected misses extends

	epochFills  = 20  // fills in an epoch of a ratio; the paper has 100, which are rarely reached
	epochWeight = 0.3 // of a new epoch; the paper has 0.1, for more epochs
)

// mean is the plain mean of the first values and an exponentially weighted one of later values, so that a
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
	fills  int // in this epoch
	misses int // in this epoch
	epochs int // completed
	value  float64
}

// known reports whether there is any observation.
func (r *misindicationRatio) known() bool { return r.fills+r.epochs > 0 }

// add counts a fill, or a miss where there should have been a fill.
func (r *misindicationRatio) add(missed bool) {
	r.fills++
	if missed {
		r.misses++
	}
	plain := float64(r.misses) / float64(r.fills)
	epochComplete := r.fills == epochFills
	if r.epochs == 0 {
		r.value = plain
	} else if epochComplete {
		r.value += epochWeight * (plain - r.value)
	}
	if epochComplete {
		r.fills = 0
		r.misses = 0
		r.epochs++
	}
}
