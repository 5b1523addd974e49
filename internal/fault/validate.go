package fault

import (
	"errors"
	"fmt"
)

// maxRepeatBytes is the maximum number of bytes that a stream buffers for a Repeat rule.
const maxRepeatBytes = 1 << 20

// validate rejects a rule whose fields contradict each other, exceed a limit or lack a duration.
func (r *Rule) validate() error {
	if err := r.validateSelection(); err != nil {
		return err
	}
	if err := r.Trigger.validate(); err != nil {
		return err
	}
	if r.Kind.BlocksNewConns() && !r.canBlockNewConns() {
		return fmt.Errorf("%s: only conn or time may be its condition", r.Kind)
	}
	if r.Kind == Repeat && r.Amount > maxRepeatBytes {
		return fmt.Errorf("repeat: %d bytes exceed the limit of %d", r.Amount, maxRepeatBytes)
	}
	if r.Kind.BlocksNewConns() && r.Duration == 0 {
		return fmt.Errorf("%s: a duration is required", r.Kind)
	}
	return nil
}

// validateSelection rejects a rule that selects connections in more than one way.
func (r *Rule) validateSelection() error {
	if countTrue(r.ConnNumber > 0, r.EveryNth > 0, r.Probability > 0) > 1 {
		return errors.New("conn: only one of conn, every and chance is allowed")
	}
	return nil
}

// validate rejects a trigger with more than one condition, or with 'nth' but without a pattern.
func (t Trigger) validate() error {
	if countTrue(t.Time >= 0, t.Byte >= 0, t.Pattern != "") > 1 {
		return errors.New("time: only one of time, byte and match is allowed")
	}
	if t.NthMatch > 1 && t.Pattern == "" {
		return errors.New("nth: requires match")
	}
	return nil
}

// canBlockNewConns reports whether a rule's conditions suit a fault on new connections. Before a connection is
// accepted, it has neither bytes nor directions, and a rule can select it only by naming its number in advance.
func (r *Rule) canBlockNewConns() bool {
	triggeredByBytes := r.Trigger.Byte >= 0 || r.Trigger.Pattern != ""
	return !triggeredByBytes && r.Direction == Both && r.EveryNth == 0 && r.Probability == 0
}

func countTrue(conditions ...bool) (count int) {
	for _, condition := range conditions {
		if condition {
			count++
		}
	}
	return count
}
