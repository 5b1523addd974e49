package fault

import (
	"fmt"
	"slices"
	"time"
)

// Firing is a fault that has fired, as the log records it.
type Firing struct {
	Link       string
	ConnNumber int
	Direction  Direction
	Offset     int64 // bytes that had passed; -1: it fired by time, or before the connection
	ScriptLine int
	Kind       Kind
}

// String is the event's line in the log: it holds no time, so that the logs of two runs can be compared.
func (e Firing) String() string {
	at := "-"
	if e.Offset >= 0 {
		at = fmt.Sprint(e.Offset)
	}
	return fmt.Sprintf("%s#%d %s %s line %d %s", e.Link, e.ConnNumber, e.Direction, at, e.ScriptLine, e.Kind)
}

// Ending is how a stream ends with a piece of output.
type Ending int

// The ends.
const (
	NotEnded Ending = iota
	EndHalfClosed
	EndClosed
	EndReset
)

// Output is one piece of output: bytes that are due at a time, then perhaps the end.
type Output struct {
	Data   []byte
	Due    time.Duration
	Ending Ending
}

// ConnPlan plans one connection.
type ConnPlan struct {
	script  *Script
	link    string
	number  int
	streams [2]*StreamPlan
	firings []Firing
	ended   bool // closed or reset by a rule: what the other direction brings after that fires nothing
}

// PlanConn returns the plan of a link's nth connection, counted from 1, which begins now.
func (s *Script) PlanConn(link string, number int, now time.Duration) *ConnPlan {
	c := &ConnPlan{script: s, link: link, number: number}
	for d := range c.streams {
		c.streams[d] = &StreamPlan{conn: c, direction: Direction(d)}
	}
	for i := range s.Rules {
		r := &s.Rules[i]
		if r.Link != link || r.Kind == Refuse || r.Kind == Stall || !c.chosen(r) {
			continue
		}
		for d, stream := range c.streams {
			if r.Direction == Both || r.Direction == Direction(d) {
				stream.add(r, now)
			}
		}
	}
	return c
}

// chosen says whether a rule is about this connection. Chance depends on seed, line and number alone.
func (c *ConnPlan) chosen(r *Rule) bool {
	switch {
	case r.ConnNumber > 0:
		return r.ConnNumber == c.number
	case r.EveryNth > 0:
		return c.number%r.EveryNth == 0
	case r.Probability > 0:
		return float64(c.draw(r.ScriptLine, 0)>>11)/(1<<53) < r.Probability
	}
	return true
}

// draw is a number that depends on the seed, the connection, a rule and a place, and on nothing that happened before.
func (c *ConnPlan) draw(line int, place int64) uint64 {
	x := c.script.Seed
	for _, part := range []uint64{uint64(c.number), uint64(line), uint64(place)} {
		x = mix(x + part + 0x9e3779b97f4a7c15)
	}
	for _, b := range []byte(c.link) {
		x = mix(x + uint64(b))
	}
	return x
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Stream returns one direction.
func (c *ConnPlan) Stream(d Direction) *StreamPlan { return c.streams[d] }

// TakeFirings returns the faults that have fired since the last call.
func (c *ConnPlan) TakeFirings() []Firing {
	events := c.firings
	c.firings = nil
	return events
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

// pendingRule is a rule that has yet to fire, with how far its pattern has been seen.
type pendingRule struct {
	rule         *Rule
	failureTable []int // of Knuth, Morris and Pratt
	matched      int
	matches      int
}

// activeRule is a rule that has fired and lasts.
type activeRule struct {
	rule      *Rule
	until     time.Duration // 0: for good
	bytesLeft int64
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

// failureTable is the table by which a pattern is looked for in a stream.
func failureTable(pattern string) []int {
	table := make([]int, len(pattern))
	for i, k := 1, 0; i < len(pattern); i++ {
		for k > 0 && pattern[i] != pattern[k] {
			k = table[k-1]
		}
		if pattern[i] == pattern[k] {
			k++
		}
		table[i] = k
	}
	return table
}

// advance sees one byte, which is the offset'th, and says whether the rule fires after it.
func (w *pendingRule) advance(b byte, offset int64) bool {
	pattern := w.rule.Trigger.Pattern
	if pattern == "" {
		return w.rule.Trigger.Byte == offset
	}
	for w.matched > 0 && (w.matched == len(pattern) || pattern[w.matched] != b) {
		w.matched = w.failureTable[w.matched-1]
	}
	if pattern[w.matched] == b {
		w.matched++
	}
	if w.matched < len(pattern) {
		return false
	}
	w.matches++
	return w.matches == w.rule.Trigger.NthMatch
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
