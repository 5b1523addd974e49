package fault

import (
	"slices"
	"time"
)

const (
	// pieceGap is the time between two pieces. It keeps the receiver from getting both in one read.
	pieceGap = time.Millisecond
	// unlimitedSilence is the due time of output during a silence without a duration. It is after the end of any run.
	unlimitedSilence = 365 * 24 * time.Hour
)

// shape splits data into outputs and sets their due times, as the active rules require.
func (s *StreamPlan) shape(data []byte, now time.Duration) (outputs []Output) {
	s.activeRules = slices.DeleteFunc(s.activeRules, func(active activeRule) bool {
		return active.until > 0 && active.until <= now
	})
	pieceSize := len(data)
	for _, active := range s.activeRules {
		if active.rule.Kind == Pieces {
			pieceSize = min(pieceSize, int(active.rule.Amount))
		}
	}
	for len(data) > 0 {
		size := min(pieceSize, len(data))
		outputs = append(outputs, Output{Data: data[:size:size], Due: s.dueTime(now, size)})
		data = data[size:]
	}
	return outputs
}

// dueTime returns the due time of the next size bytes: the latest of now, the times that the active rules give, and
// the last due time. Due times thus never decrease, so that bytes keep their order.
func (s *StreamPlan) dueTime(now time.Duration, size int) time.Duration {
	due := now
	for _, active := range s.activeRules {
		due = max(due, s.dueByRule(active, now, size))
	}
	s.lastDue = max(s.lastDue, due)
	return s.lastDue
}

// dueByRule returns the due time that one active rule gives the next size bytes.
func (s *StreamPlan) dueByRule(active activeRule, now time.Duration, size int) time.Duration {
	switch r := active.rule; r.Kind {
	case Delay:
		return now + r.Delay + s.jitter(r)
	case Rate:
		transferTime := float64(size) / float64(r.Amount) * float64(time.Second)
		return s.lastDue + time.Duration(transferTime)
	case Pieces:
		return s.lastDue + pieceGap
	case Silence:
		if active.until == 0 {
			return unlimitedSilence
		}
		return active.until
	default:
		return now
	}
}

// jitter returns the random part of a Delay rule's delay, drawn for the current offset.
func (s *StreamPlan) jitter(r *Rule) time.Duration {
	if r.Jitter == 0 {
		return 0
	}
	return time.Duration(s.conn.draw(r.ScriptLine, s.offset) % uint64(r.Jitter))
}
