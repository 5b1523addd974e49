package fault

import (
	"slices"
	"time"
)

// shape cuts output into pieces and gives each its time.
func (s *StreamPlan) shape(out []byte, now time.Duration) (ops []Output) {
	s.active = slices.DeleteFunc(s.active, func(e activeRule) bool { return e.until > 0 && e.until <= now })
	size := len(out)
	for _, e := range s.active {
		if e.rule.Kind == Pieces {
			size = min(size, int(e.rule.Amount))
		}
	}
	for len(out) > 0 {
		n := min(size, len(out))
		ops = append(ops, Output{Data: out[:n:n], Due: s.dueTime(now, n)})
		out = out[n:]
	}
	return ops
}

const (
	pieceGap         = time.Millisecond     // between pieces: they must not be read as one
	unlimitedSilence = 365 * 24 * time.Hour // longer than any run
)

// dueTime is the time at which n bytes more are due, by all that lasts. It never goes back: bytes keep their order.
func (s *StreamPlan) dueTime(now time.Duration, n int) time.Duration {
	due := now
	for _, e := range s.active {
		switch r := e.rule; r.Kind {
		case Delay:
			due = max(due, now+r.Delay)
			if r.Jitter > 0 {
				due = max(due, now+r.Delay+time.Duration(s.conn.draw(r.ScriptLine, s.offset)%uint64(r.Jitter)))
			}
		case Rate:
			due = max(due, s.lastDue+time.Duration(float64(n)/float64(r.Amount)*float64(time.Second)))
		case Pieces:
			due = max(due, s.lastDue+pieceGap)
		case Silence:
			if e.until == 0 {
				due = max(due, unlimitedSilence)
			}
			due = max(due, e.until)
		}
	}
	s.lastDue = max(s.lastDue, due)
	return s.lastDue
}
