package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// purgeDelay is the time from a purge to its publication.
	purgeDelay = 40 * time.Millisecond
	// meanPurgeInterval is the mean time between two purges of the background load, which is exponentially
	// distributed.
	meanPurgeInterval = 400 * time.Millisecond
	// purgeRNGStream is the stream of a seed's random numbers that draws the background load of purges.
	purgeRNGStream = 13
)

// purgeContinuously purges objects until over is closed.
func (r *run) purgeContinuously(over <-chan struct{}) {
	rng := rand.New(rand.NewPCG(r.seed, purgeRNGStream))
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanPurgeInterval))):
			r.purgeObject(objectName(rng.IntN(objectCount)))
		}
	}
}

// purgeObject purges the present copies of an object.
func (r *run) purgeObject(object string) {
	e := &WatchEvent{PurgedObject: object, PurgedGroup: noGroup}
	r.purge(e, fmt.Sprintf(`"ref":%q`, object), func(name string) bool { return name == object })
}

// purgeGroup purges the present copies of all objects of a group.
func (r *run) purgeGroup(group int) {
	e := &WatchEvent{PurgedGroup: group}
	r.purge(e, fmt.Sprintf(`"shard":%d`, group), func(name string) bool { return groupOf(name) == group })
}

// purge publishes a purge of the copies made until now, and has the servers drop them.
func (r *run) purge(e *WatchEvent, key string, matches func(object string) bool) {
	e.PurgedBefore = time.Now()
	time.Sleep(purgeDelay)
	r.coordinator.publish(e, `{"index":%d,"evict":{`+key+fmt.Sprintf(`,"unix_ms":%d}}`, e.PurgedBefore.UnixMilli()))
	for _, s := range append(slices.Clone(r.caches), r.parent) {
		s.purge(matches, e.PurgedBefore)
	}
}

// objectName is the key of an object that is drawn by number.
func objectName(number int) string { return fmt.Sprintf("%016x", number) }

// groupOf is the group of an object.
func groupOf(object string) int {
	var number int
	fmt.Sscanf(object, "%x", &number) //nolint:errcheck // all names come from objectName
	return number % groupCount
}
