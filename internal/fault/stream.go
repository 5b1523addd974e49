package fault

import (
	"slices"
	"time"
)

// StreamPlan plans one direction of a connection.
type StreamPlan struct {
	conn      *ConnPlan
	direction Direction
	offset    int64 // bytes taken
	pending   []*pendingRule
	active    []activeRule
	editing   *activeRule // garble, drop or repeat, with left bytes to go
	repeated  []byte
	lastDue   time.Duration // of the last output
	ended     bool
	initial   []Output // what is due before anything has come
}

// activeRule is a rule that has fired and lasts.
type activeRule struct {
	rule      *Rule
	until     time.Duration // 0: for good
	bytesLeft int64
}

// PendingTimes returns when the rules by time fire that have yet to.
func (s *StreamPlan) PendingTimes() (at []time.Duration) {
	for _, w := range s.pending {
		if w.rule.Trigger.Time >= 0 {
			at = append(at, w.rule.Trigger.Time)
		}
	}
	return at
}

func (s *StreamPlan) add(r *Rule, now time.Duration) {
	w := &pendingRule{rule: r}
	switch t := r.Trigger; {
	case t.Pattern != "":
		w.failureTable = failureTable(t.Pattern)
	case t.Time >= 0 && t.Time > now, t.Byte > 0:
	default:
		if s.conn.ended {
			return
		}
		if s.fire(r, now); r.Kind.ending() != NotEnded && !s.ended {
			s.initial = append(s.initial, s.end(nil, now, r.Kind.ending()))
		}
		return
	}
	s.pending = append(s.pending, w)
}

// fire starts a rule.
func (s *StreamPlan) fire(r *Rule, now time.Duration) {
	offset := s.offset
	if r.Trigger.Time >= 0 {
		offset = -1
	}
	s.conn.firings = append(s.conn.firings, Firing{s.conn.link, s.conn.number, s.direction, offset, r.ScriptLine, r.Kind})
	e := activeRule{rule: r, bytesLeft: r.Amount}
	if r.Duration > 0 {
		e.until = now + r.Duration
	}
	switch r.Kind {
	case Delay, Rate, Pieces, Silence:
		s.active = append(s.active, e)
	case Garble, Drop, Repeat:
		s.editing, s.repeated = &e, nil
	}
}

// ending is how a rule ends the stream.
func (v Kind) ending() Ending {
	return map[Kind]Ending{HalfClose: EndHalfClosed, Close: EndClosed, Reset: EndReset}[v]
}

// Advance fires the rules by time that are due, and returns what the beginning of the connection brought.
func (s *StreamPlan) Advance(now time.Duration) (ops []Output) {
	ops, s.initial = s.initial, nil
	s.ended = s.ended || s.conn.ended
	for _, w := range slices.Clone(s.pending) {
		if r := w.rule; r.Trigger.Time >= 0 && r.Trigger.Time <= now && !s.ended {
			s.removePending(w)
			if s.fire(r, now); r.Kind.ending() != NotEnded {
				ops = append(ops, s.end(nil, now, r.Kind.ending()))
			}
		}
	}
	return ops
}

func (s *StreamPlan) removePending(w *pendingRule) {
	s.pending = slices.DeleteFunc(s.pending, func(other *pendingRule) bool { return other == w })
}

// Feed takes bytes and returns what becomes of them. What fires does so after its exact byte.
func (s *StreamPlan) Feed(data []byte, now time.Duration) (ops []Output) {
	ops = s.Advance(now)
	var out []byte
	for _, b := range data {
		if s.ended {
			return ops
		}
		s.offset++
		out = s.edit(out, b)
		for _, w := range slices.Clone(s.pending) {
			if w.rule.Trigger.Time >= 0 || !w.advance(b, s.offset) {
				continue
			}
			s.removePending(w)
			ops, out = append(ops, s.shape(out, now)...), nil
			if s.fire(w.rule, now); w.rule.Kind.ending() != NotEnded {
				return append(ops, s.end(nil, now, w.rule.Kind.ending()))
			}
		}
	}
	return append(ops, s.shape(out, now)...)
}

// CloseInput takes the end of the input.
func (s *StreamPlan) CloseInput(now time.Duration) []Output {
	ops := s.Advance(now)
	if s.ended {
		return ops
	}
	return append(ops, s.end(nil, now, EndHalfClosed))
}

// end ends the stream. A reset comes at once, other ends after what is on its way.
func (s *StreamPlan) end(data []byte, now time.Duration, end Ending) Output {
	s.ended, s.conn.ended = true, s.conn.ended || end > EndHalfClosed
	if end == EndReset {
		return Output{Data: data, Due: now, Ending: end}
	}
	return Output{Data: data, Due: s.dueTime(now, 0), Ending: end}
}

// edit passes a byte on, changed where a rule says so.
func (s *StreamPlan) edit(out []byte, b byte) []byte {
	e := s.editing
	if e == nil {
		return append(out, b)
	}
	e.bytesLeft--
	switch e.rule.Kind {
	case Garble: // never the same byte
		out = append(out, b^byte(1+s.conn.draw(e.rule.ScriptLine, s.offset)%255))
	case Repeat:
		out, s.repeated = append(out, b), append(s.repeated, b)
	}
	if e.bytesLeft == 0 {
		out = append(out, s.repeated...)
		s.editing, s.repeated = nil, nil
	}
	return out
}
