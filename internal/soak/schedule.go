package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one fault of a schedule.
type Fault struct {
	Kind     string
	At       time.Duration // since the start of the run
	Duration time.Duration // as drawn; some kinds last a multiple or a part of it, others ignore it
	// Target is the proxy's index in the fleet or, for faults of a cache, the index among the caches. For faults of the
	// coordinator and other faults, it determines a cache, a group, an object or the affected half of the fleet.
	Target int
}

// String returns the fault as a line of a schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%.3f for %.3f: %s %d", f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Target)
}

// The kinds of faults, grouped by what they affect. A seed draws kinds by index, so a change of their order changes
// the schedules of all seeds.
var (
	processFaults = []string{"freeze", "term", "kill", "reload", "broken-reload", "drain-order", "deaf-log", "wrong-clock", "failing-calls",
		"hand-over", "crowd", "term-in-use", "signals", "term-hung", "drain-again", "drain-term"}
	cacheFaults       = []string{"leave", "return", "crash", "hang", "slow", "spoil", "overload", "reset", "replace", "retire"}
	coordinatorFaults = []string{"down", "silent", "slow-lines", "unknown-state", "unreadable-line", "unreadable-purge", "unknown-event",
		"cut-lines", "half-lines", "short-lines", "double-lines"}
	otherFaults = []string{"purge-group", "purge-storm", "origin-hang", "origin-reset"}
)

const (
	quietStart        = time.Second             // time before the first fault
	quietEnd          = 3 * time.Second         // time without new faults and requests at the end of the run
	minFaultDuration  = 300 * time.Millisecond  // inclusive
	maxFaultDuration  = 2500 * time.Millisecond // exclusive
	meanFaultInterval = 550 * time.Millisecond  // mean of an exponential distribution, so that two or three faults overlap
)

// scheduleRNGStream selects the PCG stream of a seed from which the seed's schedule is drawn.
const scheduleRNGStream = 11

// FaultKinds returns all kinds of faults.
func FaultKinds() []string {
	return slices.Concat(processFaults, cacheFaults, coordinatorFaults, otherFaults)
}

// Schedule draws the faults of a run of the given length from the given kinds. fleetSize and numCaches are the
// numbers of proxies and caches.
func Schedule(seed uint64, length time.Duration, fleetSize, numCaches int, kinds []string) (schedule []Fault) {
	rng := rand.New(rand.NewPCG(seed, scheduleRNGStream))
	at := quietStart
	for at < length-quietEnd {
		schedule = append(schedule, drawFault(rng, at, fleetSize, numCaches, kinds))
		at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval))
	}
	return schedule
}

// drawFault draws one fault. A change of the order of the draws changes the schedules of all seeds.
func drawFault(rng *rand.Rand, at time.Duration, fleetSize, numCaches int, kinds []string) Fault {
	f := Fault{At: at}
	f.Kind = kinds[rng.IntN(len(kinds))]
	f.Duration = minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	f.Target = rng.IntN(fleetSize)
	if slices.Contains(cacheFaults, f.Kind) {
		f.Target = rng.IntN(numCaches)
	}
	return f
}

// formatSchedule formats a schedule, one line per fault.
func formatSchedule(schedule []Fault) string {
	var b strings.Builder
	for _, f := range schedule {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}
