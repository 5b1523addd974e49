package soak

import (
	"cmp"
	"slices"
	"time"
)

// Span is an interval of a run. Its ends are times since the start of the run.
type Span struct {
	From, To time.Duration
}

// overlaps reports whether the span overlaps the interval between two moments.
func (s Span) overlaps(from, to time.Duration) bool { return s.To > from && s.From < to }

// afterExcluding returns the moment at which length has passed since from, not counting the time within the
// given spans, which may overlap.
func afterExcluding(spans []Span, from, length time.Duration) time.Duration {
	sortedSpans := slices.SortedFunc(slices.Values(spans), func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	end := from + length
	countedTo := from
	for _, s := range sortedSpans {
		begin := max(countedTo, s.From)
		if s.To > begin && begin < end {
			end += s.To - begin
			countedTo = s.To
		}
	}
	return end
}
