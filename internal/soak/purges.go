package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// purgeDelay is the delay between a purge and the publication of its event.
	purgeDelay = 40 * time.Millisecond
	// meanPurgeInterval is the mean of the exponentially distributed time between two purges of the background load.
	meanPurgeInterval = 400 * time.Millisecond
	// purgeRNGStream selects the PCG stream of the run's seed from which the background load of purges is drawn.
	purgeRNGStream = 13
)

// purgeContinuously purges random objects until stop is closed.
func (r *run) purgeContinuously(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(r.seed, purgeRNGStream))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanPurgeInterval))):
			r.purgeObject(objectName(rng.IntN(objectCount)))
		}
	}
}

// purgeObject purges all copies of an object that exist now.
func (r *run) purgeObject(object string) {
	e := &WatchEvent{PurgedObject: object, PurgedGroup: noGroup}
	r.purge(e, fmt.Sprintf(`"ref":%q`, object), func(name string) bool { return name == object })
}

// purgeGroup purges all copies of the objects of a group that exist now.
func (r *run) purgeGroup(group int) {
	e := &WatchEvent{PurgedGroup: group}
	r.purge(e, fmt.Sprintf(`"shard":%d`, group), func(name string) bool { return groupOf(name) == group })
}

// purge publishes a purge of the copies made before now, and makes the caches and the parent drop them.
// targetMember is the JSON member of the event that names the object or the group.
func (r *run) purge(e *WatchEvent, targetMember string, matches func(object string) bool) {
	e.PurgedBefore = time.Now()
	time.Sleep(purgeDelay)
	r.coordinator.publish(e, `{"index":%d,"evict":{`+targetMember+fmt.Sprintf(`,"unix_ms":%d}}`, e.PurgedBefore.UnixMilli()))
	for _, s := range append(slices.Clone(r.caches), r.parent) {
		s.purge(matches, e.PurgedBefore)
	}
}

// objectName returns the key of the object with a number.
func objectName(number int) string { return fmt.Sprintf("%016x", number) }

// groupOf returns the purge group of an object.
func groupOf(object string) int {
	var number int
	fmt.Sscanf(object, "%x", &number) //nolint:errcheck // all names come from objectName
	return number % groupCount
}
