package connpool

import (
	"math/bits"
	"time"
)

const (
	// firstBucketEnd is the upper end of the shortest range of idle times; each further range ends at twice
	// the time.
	firstBucketEnd = 20 * time.Millisecond

	// lossDetectionWindow is how soon after the start of a use a connection that ends counts as lost before the
	// use.
	lossDetectionWindow = 100 * time.Millisecond

	// maxLossFraction is the fraction of lost uses above which a connection is not used any more. By
	// newestWeight, one loss (0.1) does not exceed it; two do with up to five successes between them (0.153),
	// not with six (0.148), if nothing has decayed.
	maxLossFraction = 0.15

	// newestWeight is the weight of the last use in an estimate.
	newestWeight = 0.1

	// decayFactor is applied to the estimates once a second, so that idle times that were not used any more
	// are tried again.
	decayFactor = 0.97
)

// idleBucket is a range of the time for which a connection had been idle when a use began.
type idleBucket int

const (
	noBucket        idleBucket = -1
	newConnBucket   idleBucket = 0 // connections that have not been used
	firstIdleBucket idleBucket = 1 // idle for less than firstBucketEnd; each further one for up to twice the time
	idleBucketCount            = 12
	lastIdleBucket  idleBucket = idleBucketCount - 1
)

// bucketOfIdleTime returns the bucket of a used connection that has been idle for the given time.
func bucketOfIdleTime(idle time.Duration) idleBucket {
	doublings := bits.Len64(uint64(idle / firstBucketEnd))
	return min(firstIdleBucket+idleBucket(doublings), lastIdleBucket)
}

// idleLossEstimates holds for each idle bucket the fraction of recent uses that were lost because the
// connection had ended unnoticed. Servers and middleboxes close idle connections sooner than announced, some
// without sending anything; only the next use finds out.
type idleLossEstimates [idleBucketCount]float64

// recordLoss counts a use that was lost.
func (e *idleLossEstimates) recordLoss(bucket idleBucket) { e.record(bucket, 1) }

// recordSuccess counts a use that was not lost.
func (e *idleLossEstimates) recordSuccess(bucket idleBucket) { e.record(bucket, 0) }

// record counts one use of which the given fraction was lost.
func (e *idleLossEstimates) record(bucket idleBucket, lostFraction float64) {
	e[bucket] += newestWeight * (lostFraction - e[bucket])
}

// maxUpTo is the largest estimate of the idle buckets up to the given one: a longer idle time is at least as
// risky as a shorter one. The bucket of new connections does not count.
func (e *idleLossEstimates) maxUpTo(bucket idleBucket) float64 {
	largest := 0.0
	for _, share := range e[firstIdleBucket : bucket+1] {
		largest = max(largest, share)
	}
	return largest
}

// decay reduces all estimates. It is called once a second.
func (e *idleLossEstimates) decay() {
	for bucket := range e {
		e[bucket] *= decayFactor
	}
}
