package soak

import (
	"cmp"
	"slices"
	"time"
)

// Span is a part of a run, in times since its start.
type Span struct {
	From, To time.Duration
}

// overlaps reports whether a part of the span lies between two moments.
func (s Span) overlaps(from, to time.Duration) bool { return s.To > from && s.From < to }

// afterExcluding returns when a length of time has passed after a moment, where the time in the given spans
// does not count.
func afterExcluding(spans []Span, from, length time.Duration) time.Duration {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	end := from + length
	countedTo := from
	for _, s := range sorted {
		begin := max(countedTo, s.From)
		if s.To > begin && begin < end {
			end += s.To - begin
			countedTo = s.To
		}
	}
	return end
}
