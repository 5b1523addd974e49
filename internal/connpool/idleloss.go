package connpool

import (
	"math/bits"
	"time"
)

const (
	// firstBucketEnd is the upper end of the shortest range of idle times. Each further range ends at twice
	// the end of the one before.
	firstBucketEnd = 20 * time.Millisecond

	// lossDetectionWindow is the time after the start of a use within which the end of its connection shows
	// that the connection had been lost before the use.
	lossDetectionWindow = 100 * time.Millisecond

	// maxLossFraction is the estimated fraction of lost uses above which a connection is not used any more.
	// With newestWeight, and if nothing has decayed, one loss (0.1) does not exceed it; two losses do with up
	// to five successes between them (0.153) but not with six (0.148).
	maxLossFraction = 0.15

	// newestWeight is the weight of the newest use in an estimate, an exponentially weighted moving average.
	newestWeight = 0.1

	// decayFactor is applied to the estimates once a second, so that idle times after which connections were
	// no longer used are tried again.
	decayFactor = 0.97
)

// idleBucket is a range of the time for which a connection had been idle when a use began.
type idleBucket int

const (
	noBucket        idleBucket = -1 // no use has an outcome that is still to be recorded
	newConnBucket   idleBucket = 0  // connections that have not been used
	firstIdleBucket idleBucket = 1  // idle for less than firstBucketEnd; further buckets end at 2, 4, 8... times that
	idleBucketCount            = 12
	lastIdleBucket  idleBucket = idleBucketCount - 1
)

// bucketOfIdleTime returns the bucket of a connection that has been used and then idle for the given time.
func bucketOfIdleTime(idle time.Duration) idleBucket {
	doublings := bits.Len64(uint64(idle / firstBucketEnd))
	return min(firstIdleBucket+idleBucket(doublings), lastIdleBucket)
}

// idleLossEstimates holds, for each idle bucket, the estimated fraction of recent uses that were lost because
// the connection had ended unnoticed. Servers and middleboxes close idle connections sooner than announced,
// some without sending anything; only the next use finds out.
type idleLossEstimates [idleBucketCount]float64

// recordLoss counts a use that was lost.
func (e *idleLossEstimates) recordLoss(bucket idleBucket) { e.record(bucket, 1) }

// recordSuccess counts a use that was not lost.
func (e *idleLossEstimates) recordSuccess(bucket idleBucket) { e.record(bucket, 0) }

// record counts one use. Its lostFraction is 1 if the use was lost, otherwise 0.
func (e *idleLossEstimates) record(bucket idleBucket, lostFraction float64) {
	e[bucket] += newestWeight * (lostFraction - e[bucket])
}

// maxUpTo returns the largest estimate of the idle buckets up to the given one, since a longer idle time is
// at least as risky as a shorter one. The bucket of new connections does not count.
func (e *idleLossEstimates) maxUpTo(bucket idleBucket) float64 {
	largestFraction := 0.0
	for _, fraction := range e[firstIdleBucket : bucket+1] {
		largestFraction = max(largestFraction, fraction)
	}
	return largestFraction
}

// decay reduces all estimates. It is called once a second.
func (e *idleLossEstimates) decay() {
	for bucket := range e {
		e[bucket] *= decayFactor
	}
}
