package fault

import (
	"fmt"
	"time"
)

// conflictGroup identifies what a kind of fault acts on. Two rules whose kinds are in the same group can't both take
// effect at the same point.
type conflictGroup int

const (
	groupDelay conflictGroup = iota
	groupRate
	groupPieces
	groupEnd      // ends or blocks the stream
	groupEdit     // changes bytes
	groupNewConns // blocks new connections
)

func (k Kind) conflictGroup() conflictGroup {
	switch k {
	case Delay:
		return groupDelay
	case Rate:
		return groupRate
	case Pieces:
		return groupPieces
	case Garble, Drop, Repeat:
		return groupEdit
	case Refuse, Stall:
		return groupNewConns
	default:
		return groupEnd
	}
}

// checkConflicts rejects two rules that act on the same thing at the same point.
func (s *Script) checkConflicts() error {
	for i, rule := range s.Rules {
		for _, earlierRule := range s.Rules[:i] {
			if rule.conflictsWith(earlierRule) {
				return fmt.Errorf("%w: line %d: %s: contradicts %s in line %d",
					ErrScript, rule.ScriptLine, rule.Kind, earlierRule.Kind, earlierRule.ScriptLine)
			}
		}
	}
	return nil
}

// conflictsWith reports whether two rules act on the same thing at the same point. Rules that select
// connections by chance count as selecting all.
func (r Rule) conflictsWith(other Rule) bool {
	return r.Link == other.Link &&
		r.Kind.conflictGroup() == other.Kind.conflictGroup() &&
		r.Direction.overlaps(other.Direction) &&
		r.sharesConnections(other) &&
		r.sharesTrigger(other)
}

func (d Direction) overlaps(other Direction) bool {
	return d == Both || other == Both || d == other
}

// sharesConnections reports whether both rules may apply to the same connection.
func (r Rule) sharesConnections(other Rule) bool {
	if r.ConnNumber > 0 && other.ConnNumber > 0 {
		return r.ConnNumber == other.ConnNumber
	}
	return isMultiple(r.ConnNumber, other.EveryNth) && isMultiple(other.ConnNumber, r.EveryNth)
}

// isMultiple reports whether a connection's number is a multiple of n. It returns true if either is 0, because a
// 0 stands for no restriction.
func isMultiple(connNumber, n int) bool {
	return connNumber == 0 || n == 0 || connNumber%n == 0
}

// sharesTrigger reports whether both rules are active at the same point: their triggers are equal, or both are
// timed rules whose active periods overlap.
func (r Rule) sharesTrigger(other Rule) bool {
	if r.Trigger.Time < 0 || other.Trigger.Time < 0 {
		return r.Trigger == other.Trigger
	}
	if r.Trigger.Time == other.Trigger.Time {
		return true
	}
	return !r.hasEndedBy(other.Trigger.Time) && !other.hasEndedBy(r.Trigger.Time)
}

// hasEndedBy reports whether a timed rule is no longer active at a time. A rule without a duration never ends.
func (r Rule) hasEndedBy(at time.Duration) bool {
	return r.Duration > 0 && r.Trigger.Time+r.Duration <= at
}
