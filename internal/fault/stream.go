package fault

import (
	"slices"
	"time"
)

// StreamPlan plans one direction of a connection. Callers pass the bytes that were read to Feed, call CloseInput at
// the end of the input, and call Advance when timed rules may be due. Each returns the outputs to write, in order.
// Due times never decrease, except that a reset is due at once.
type StreamPlan struct {
	conn           *ConnPlan
	direction      Direction
	offset         int64          // bytes read so far
	pendingRules   []*pendingRule // rules that have not fired
	activeRules    []activeRule   // rules that affect the size or the due time of outputs
	editingRule    *activeRule    // the rule that changes bytes; nil: none
	bytesToRepeat  []byte         // bytes that an active Repeat rule will send once more
	lastDue        time.Duration  // due time of the last output so far
	ended          bool
	initialOutputs []Output // outputs of rules that fired when the connection began; returned by the first Advance
}

// activeRule is a rule that has fired and still has an effect.
type activeRule struct {
	rule      *Rule
	until     time.Duration // since the start of the run; 0: until the connection ends
	bytesLeft int64         // bytes that the rule has yet to change; used only by Garble, Drop and Repeat
}

// addRule adds a rule that applies to the connection. A rule whose trigger has been reached fires at once.
func (s *StreamPlan) addRule(r *Rule, now time.Duration) {
	trigger := r.Trigger
	if trigger.Pattern != "" {
		s.pendingRules = append(s.pendingRules, &pendingRule{rule: r, failureTable: failureTable(trigger.Pattern)})
		return
	}
	if trigger.Time > now && trigger.Time >= 0 || trigger.Byte > 0 {
		s.pendingRules = append(s.pendingRules, &pendingRule{rule: r})
		return
	}
	if s.conn.ended {
		return
	}
	s.fire(r, now)
	if r.Kind.ending() != NotEnded && !s.ended {
		s.initialOutputs = append(s.initialOutputs, s.end(now, r.Kind.ending()))
	}
}

// fire records that a rule has fired and activates it.
func (s *StreamPlan) fire(r *Rule, now time.Duration) {
	offset := s.offset
	if r.Trigger.Time >= 0 {
		offset = NoOffset
	}
	s.conn.firings = append(s.conn.firings, Firing{
		Link: s.conn.link, ConnNumber: s.conn.number, Direction: s.direction, Offset: offset,
		ScriptLine: r.ScriptLine, Kind: r.Kind,
	})
	firedRule := activeRule{rule: r, bytesLeft: r.Amount}
	if r.Duration > 0 {
		firedRule.until = now + r.Duration
	}
	switch r.Kind {
	case Delay, Rate, Pieces, Silence:
		s.activeRules = append(s.activeRules, firedRule)
	case Garble, Drop, Repeat:
		s.editingRule = &firedRule
		s.bytesToRepeat = nil
	}
}

// PendingTimes returns the times of the timed rules that have not fired yet.
func (s *StreamPlan) PendingTimes() (times []time.Duration) {
	for _, p := range s.pendingRules {
		if p.rule.Trigger.Time >= 0 {
			times = append(times, p.rule.Trigger.Time)
		}
	}
	return times
}

// Advance fires the timed rules that are due and returns their output. Its first call also returns the output of
// rules that fired when the connection began.
func (s *StreamPlan) Advance(now time.Duration) (outputs []Output) {
	outputs = s.initialOutputs
	s.initialOutputs = nil
	s.ended = s.ended || s.conn.ended
	for _, p := range slices.Clone(s.pendingRules) {
		due := p.rule.Trigger.Time >= 0 && p.rule.Trigger.Time <= now
		if !due || s.ended {
			continue
		}
		s.removePending(p)
		s.fire(p.rule, now)
		if p.rule.Kind.ending() != NotEnded {
			outputs = append(outputs, s.end(now, p.rule.Kind.ending()))
		}
	}
	return outputs
}

func (s *StreamPlan) removePending(p *pendingRule) {
	s.pendingRules = slices.DeleteFunc(s.pendingRules, func(other *pendingRule) bool { return other == p })
}

// Feed takes bytes that were read and returns the output for them. A rule takes effect right after the byte that
// triggers it.
func (s *StreamPlan) Feed(data []byte, now time.Duration) (outputs []Output) {
	outputs = s.Advance(now)
	var editedData []byte
	for _, b := range data {
		if s.ended {
			return outputs
		}
		s.offset++
		editedData = s.edit(editedData, b)
		for _, p := range slices.Clone(s.pendingRules) {
			if p.rule.Trigger.Time >= 0 || !p.advance(b, s.offset) {
				continue
			}
			s.removePending(p)
			outputs = append(outputs, s.shape(editedData, now)...)
			editedData = nil
			s.fire(p.rule, now)
			if p.rule.Kind.ending() != NotEnded {
				return append(outputs, s.end(now, p.rule.Kind.ending()))
			}
		}
	}
	return append(outputs, s.shape(editedData, now)...)
}

// CloseInput handles the end of the input and returns the last outputs. They end the stream with EndHalfClosed, unless
// a rule has ended it.
func (s *StreamPlan) CloseInput(now time.Duration) []Output {
	outputs := s.Advance(now)
	if s.ended {
		return outputs
	}
	return append(outputs, s.end(now, EndHalfClosed))
}

// end ends the stream and returns the output with its ending. A reset is due now, any other ending no earlier than
// the output before it.
func (s *StreamPlan) end(now time.Duration, ending Ending) Output {
	s.ended = true
	if ending > EndHalfClosed {
		s.conn.ended = true
	}
	if ending == EndReset {
		return Output{Due: now, Ending: ending}
	}
	return Output{Due: s.dueTime(now, 0), Ending: ending}
}
