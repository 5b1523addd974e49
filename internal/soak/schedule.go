package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Target   int // of the fleet, or of the caches
}

// String is the trouble as the schedule is kept.
func (t Fault) String() string {
	return fmt.Sprintf("%.3f for %.3f: %s %d", t.At.Seconds(), t.Duration.Seconds(), t.Kind, t.Target)
}

// The kinds of troubles, by what they hit.
var (
	processFaults = []string{"freeze", "term", "kill", "reload", "broken-reload", "drain-order", "deaf-log", "wrong-clock", "failing-calls",
		"hand-over", "crowd"}
	cacheFaults       = []string{"leave", "return", "crash", "hang", "slow", "spoil", "overload", "reset", "replace", "retire"}
	coordinatorFaults = []string{"down", "silent", "slow-lines", "unknown-state", "unreadable-line", "unreadable-purge", "unknown-event"}
	otherFaults       = []string{"purge-group", "purge-storm", "origin-hang", "origin-reset"}
)

const (
	quietStart        = time.Second
	quietEnd          = 3 * time.Second
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 2500 * time.Millisecond
	retiredFor        = 9 * time.Second
	meanFaultInterval = 550 * time.Millisecond // in the mean: two or three overlap
)

// Kinds are all kinds of troubles.
func Kinds() []string {
	return slices.Concat(processFaults, cacheFaults, coordinatorFaults, otherFaults)
}

// Schedule draws the troubles of a run from the given kinds.
func Schedule(seed uint64, length time.Duration, fleet, caches int, kinds []string) (list []Fault) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for at := quietStart; at < length-quietEnd; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		t := Fault{Kind: kinds[rng.IntN(len(kinds))], At: at, Duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))}
		t.Target = rng.IntN(fleet)
		if slices.Contains(cacheFaults, t.Kind) {
			t.Target = rng.IntN(caches)
		}
		list = append(list, t)
	}
	return list
}

// formatSchedule lists a schedule.
func formatSchedule(list []Fault) string {
	var b strings.Builder
	for _, t := range list {
		fmt.Fprintln(&b, t)
	}
	return b.String()
}
