package soak

import (
	"slices"
	"time"
)

// afterExcluding is when a time has passed since a moment, where some spans do not count.
func afterExcluding(spans [][2]time.Duration, from, length time.Duration) time.Duration {
	spans = slices.SortedFunc(slices.Values(spans), func(a, b [2]time.Duration) int { return int(a[0] - b[0]) })
	end, counted := from+length, from
	for _, s := range spans {
		if begin := max(counted, s[0]); s[1] > begin && begin < end {
			end += s[1] - begin
			counted = s[1]
		}
	}
	return end
}
