package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// purgeContinuously purges objects all the time.
func (r *run) purgeContinuously(over <-chan struct{}) {
	rng := rand.New(rand.NewPCG(r.seed, 13))
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanPurgeInterval))):
			r.purge(fmt.Sprintf("%016x", rng.IntN(objects)), -1)
		}
	}
}

// purge makes older copies of an object, or of a group, void.
func (r *run) purge(object string, group int) {
	moment := time.Now()
	e := &WatchEvent{PurgedObject: object, PurgedGroup: group, PurgedBefore: moment}
	names := fmt.Sprintf(`"ref":%q`, object)
	if object == "" {
		names = fmt.Sprintf(`"shard":%d`, group)
	}
	time.Sleep(purgeDelay)
	r.coordinator.publish(e, `{"index":%d,"evict":{`+names+fmt.Sprintf(`,"unix_ms":%d}}`, moment.UnixMilli()))
	matches := func(name string) bool {
		var n int
		fmt.Sscanf(name, "%x", &n) //nolint:errcheck // all objects are numbers
		return name == object || object == "" && n%groupsInUse == group
	}
	for _, s := range append(slices.Clone(r.caches), r.parent) {
		s.purge(matches, moment)
	}
}
