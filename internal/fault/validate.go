package fault

import (
	"errors"
	"fmt"
)

// maxRepeatBytes bounds what a stream keeps to send once more.
const maxRepeatBytes = 1 << 20

// validate looks for fields that do not go together.
func (r *Rule) validate() error {
	set := func(list ...bool) (n int) {
		for _, on := range list {
			if on {
				n++
			}
		}
		return n
	}
	byBytes := r.Trigger.Byte >= 0 || r.Trigger.Pattern != ""
	switch {
	case set(r.ConnNumber > 0, r.EveryNth > 0, r.Probability > 0) > 1:
		return errors.New("conn: only one of conn, every and chance can be")
	case set(r.Trigger.Time >= 0, r.Trigger.Byte >= 0, r.Trigger.Pattern != "") > 1:
		return errors.New("time: only one of time, byte and match can be")
	case r.Trigger.NthMatch > 1 && r.Trigger.Pattern == "":
		return errors.New("nth: goes with match")
	case (r.Kind == Refuse || r.Kind == Stall) && (byBytes || r.Direction != Both || r.EveryNth > 0 || r.Probability > 0):
		return fmt.Errorf("%s: goes with conn or time alone", r.Kind)
	case r.Kind == Repeat && r.Amount > maxRepeatBytes:
		return fmt.Errorf("repeat: %d bytes are more than the %d that are kept", r.Amount, maxRepeatBytes)
	case (r.Kind == Refuse || r.Kind == Stall) && r.Duration == 0:
		return fmt.Errorf("%s: a time is wanted", r.Kind)
	}
	return nil
}

// conflictGroup sorts verbs by what they take hold of: two of one conflictGroup at one point can't both be carried out.
func (v Kind) conflictGroup() int {
	switch v {
	case HalfClose, Close, Reset, Silence:
		return -1
	case Garble, Drop, Repeat:
		return -2
	case Refuse, Stall:
		return -3
	}
	return int(v)
}

// checkConflicts looks for two rules that take hold of the same thing at the same point.
func (s *Script) checkConflicts() error {
	for i, a := range s.Rules {
		for _, b := range s.Rules[:i] {
			if a.conflictsWith(b) {
				return fmt.Errorf("%w: line %d: %s: contradicts %s in line %d", ErrScript, a.ScriptLine, a.Kind, b.Kind, b.ScriptLine)
			}
		}
	}
	return nil
}

func (r Rule) conflictsWith(o Rule) bool {
	if r.Link != o.Link || r.Kind.conflictGroup() != o.Kind.conflictGroup() || r.Direction != Both && o.Direction != Both && r.Direction != o.Direction {
		return false
	}
	if r.ConnNumber > 0 && o.ConnNumber > 0 && r.ConnNumber != o.ConnNumber {
		return false
	}
	if a, b := r.ConnNumber, o.EveryNth; a > 0 && b > 0 && a%b != 0 {
		return false
	}
	if a, b := o.ConnNumber, r.EveryNth; a > 0 && b > 0 && a%b != 0 {
		return false
	}
	if r.Trigger.Time >= 0 && o.Trigger.Time >= 0 {
		return !(r.Trigger.Time+r.Duration <= o.Trigger.Time && r.Duration > 0 || o.Trigger.Time+o.Duration <= r.Trigger.Time && o.Duration > 0) ||
			r.Trigger.Time == o.Trigger.Time
	}
	return r.Trigger == o.Trigger
}
