package connpool

import "time"

const (
	minIdleTime   = 20 * time.Millisecond  // idle times are told apart from here on, in doublings
	immediateLoss = 100 * time.Millisecond // a connection that breaks so soon after its use began was dead before
	maxLossShare  = 0.15                   // share of uses lost from which a connection is not used: two in half a dozen
	newestWeight  = 0.1                    // weight of the last use
	decayFactor   = 0.97                   // of what was learned, after a second
)

// idleLossEstimates holds what share of uses was lost at once lately, by how long the connection had been idle: the first
// place is for new ones, the others for idle times that double. Servers, and what stands between, close idle
// connections sooner than they are said to, some without a word; the next use finds out.
type idleLossEstimates [12]float64

func (r *idleLossEstimates) count(place int, lost bool) {
	x := 0.0
	if lost {
		x = 1
	}
	r[place] += newestWeight * (x - r[place])
}

// maxUpTo is the risk of a connection that has been idle so long: no lower than that of a shorter time.
func (r *idleLossEstimates) maxUpTo(place int) (most float64) {
	for _, x := range r[1 : place+1] {
		most = max(most, x)
	}
	return most
}

func (r *idleLossEstimates) decay() {
	for i := range r {
		r[i] *= decayFactor
	}
}
