package policy

const (
	epochFills       = 20  // fills of one epoch of a ratio; the paper's 100 are hardly reached
	epochWeight      = 0.3 // weight of a new epoch; above the paper's 0.1 as epochs are fewer
	firstByteSamples = 10  // first-byte waits that a mean goes over
	requestSamples   = 100 // requests that the mean sizes and worths go over
)

// mean is plain over the first values and then smoothed, so that one early value does not stand for all.
type mean struct{ value, count float64 }

func (m *mean) add(value, maxCount float64) {
	m.count = min(m.count+1, maxCount)
	m.value += (value - m.value) / m.count
}

// ratio is the paper's estimator of a misindication ratio (Section VIII-B).
type ratio struct {
	fills, misses, epochs int
	value                 float64
}

func (r *ratio) known() bool { return r.fills+r.epochs > 0 }

func (r *ratio) add(lacked bool) {
	r.fills++
	r.misses += map[bool]int{true: 1}[lacked]
	plain := float64(r.misses) / float64(r.fills)
	if r.epochs == 0 {
		r.value = plain
	} else if r.fills == epochFills {
		r.value += epochWeight * (plain - r.value)
	}
	if r.fills == epochFills {
		r.fills, r.misses, r.epochs = 0, 0, r.epochs+1
	}
}
