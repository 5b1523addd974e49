package fault

import (
	"fmt"
	"slices"
	"time"
)

// Event is a fault that has fired, as the log records it.
type Event struct {
	Link      string
	Conn      int
	Direction Direction
	Offset    int64 // bytes that had passed; -1: it fired by time, or before the connection
	Line      int
	Do        Verb
}

// String is the event's line in the log: it holds no time, so that the logs of two runs can be compared.
func (e Event) String() string {
	at := "-"
	if e.Offset >= 0 {
		at = fmt.Sprint(e.Offset)
	}
	return fmt.Sprintf("%s#%d %s %s line %d %s", e.Link, e.Conn, e.Direction, at, e.Line, e.Do)
}

// End is how a stream ends with a piece of output.
type End int

// The ends.
const (
	Open End = iota
	HalfClosed
	Closed
	WasReset
)

// Op is one piece of output: bytes that are due at a time, then perhaps the end.
type Op struct {
	Data []byte
	Due  time.Duration
	End  End
}

// Conn plans one connection.
type Conn struct {
	script  *Script
	link    string
	number  int
	streams [2]*Stream
	events  []Event
	over    bool // closed or reset by a rule: what the other direction brings after that fires nothing
}

// Conn returns the plan of a link's nth connection, counted from 1, which begins now.
func (s *Script) Conn(link string, number int, now time.Duration) *Conn {
	c := &Conn{script: s, link: link, number: number}
	for d := range c.streams {
		c.streams[d] = &Stream{conn: c, direction: Direction(d)}
	}
	for i := range s.Rules {
		r := &s.Rules[i]
		if r.Link != link || r.Do == Refuse || r.Do == Stall || !c.chosen(r) {
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
func (c *Conn) chosen(r *Rule) bool {
	switch {
	case r.Conn > 0:
		return r.Conn == c.number
	case r.Every > 0:
		return c.number%r.Every == 0
	case r.Chance > 0:
		return float64(c.draw(r.Line, 0)>>11)/(1<<53) < r.Chance
	}
	return true
}

// draw is a number that depends on the seed, the connection, a rule and a place, and on nothing that happened before.
func (c *Conn) draw(line int, place int64) uint64 {
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
func (c *Conn) Stream(d Direction) *Stream { return c.streams[d] }

// Events returns the faults that have fired since the last call.
func (c *Conn) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

// Timed returns when the rules by time fire that have yet to.
func (s *Stream) Timed() (at []time.Duration) {
	for _, w := range s.waiting {
		if w.rule.When.Time >= 0 {
			at = append(at, w.rule.When.Time)
		}
	}
	return at
}

// Stream plans one direction of a connection.
type Stream struct {
	conn      *Conn
	direction Direction
	offset    int64 // bytes taken
	waiting   []*watch
	lasting   []effect
	editing   *effect // garble, drop or repeat, with left bytes to go
	repeated  []byte
	due       time.Duration // of the last output
	ended     bool
	first     []Op // what is due before anything has come
}

// watch is a rule that has yet to fire, with how far its pattern has been seen.
type watch struct {
	rule  *Rule
	table []int // of Knuth, Morris and Pratt
	state int
	seen  int
}

// effect is a rule that has fired and lasts.
type effect struct {
	rule  *Rule
	until time.Duration // 0: for good
	left  int64
}

func (s *Stream) add(r *Rule, now time.Duration) {
	w := &watch{rule: r}
	switch t := r.When; {
	case t.Pattern != "":
		w.table = prefixes(t.Pattern)
	case t.Time >= 0 && t.Time > now, t.Byte > 0:
	default:
		if s.conn.over {
			return
		}
		if s.fire(r, now); r.Do.end() != Open && !s.ended {
			s.first = append(s.first, s.finish(nil, now, r.Do.end()))
		}
		return
	}
	s.waiting = append(s.waiting, w)
}

// prefixes is the table by which a pattern is looked for in a stream.
func prefixes(pattern string) []int {
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

// take sees one byte, which is the offset'th, and says whether the rule fires after it.
func (w *watch) take(b byte, offset int64) bool {
	pattern := w.rule.When.Pattern
	if pattern == "" {
		return w.rule.When.Byte == offset
	}
	for w.state > 0 && (w.state == len(pattern) || pattern[w.state] != b) {
		w.state = w.table[w.state-1]
	}
	if pattern[w.state] == b {
		w.state++
	}
	if w.state < len(pattern) {
		return false
	}
	w.seen++
	return w.seen == w.rule.When.Nth
}

// fire starts a rule.
func (s *Stream) fire(r *Rule, now time.Duration) {
	offset := s.offset
	if r.When.Time >= 0 {
		offset = -1
	}
	s.conn.events = append(s.conn.events, Event{s.conn.link, s.conn.number, s.direction, offset, r.Line, r.Do})
	e := effect{rule: r, left: r.Amount}
	if r.For > 0 {
		e.until = now + r.For
	}
	switch r.Do {
	case Delay, Rate, Pieces, Silence:
		s.lasting = append(s.lasting, e)
	case Garble, Drop, Repeat:
		s.editing, s.repeated = &e, nil
	}
}

// end is how a rule ends the stream.
func (v Verb) end() End {
	return map[Verb]End{HalfClose: HalfClosed, Close: Closed, Reset: WasReset}[v]
}

// Tick fires the rules by time that are due, and returns what the beginning of the connection brought.
func (s *Stream) Tick(now time.Duration) (ops []Op) {
	ops, s.first = s.first, nil
	s.ended = s.ended || s.conn.over
	for _, w := range slices.Clone(s.waiting) {
		if r := w.rule; r.When.Time >= 0 && r.When.Time <= now && !s.ended {
			s.drop(w)
			if s.fire(r, now); r.Do.end() != Open {
				ops = append(ops, s.finish(nil, now, r.Do.end()))
			}
		}
	}
	return ops
}

func (s *Stream) drop(w *watch) {
	s.waiting = slices.DeleteFunc(s.waiting, func(other *watch) bool { return other == w })
}

// Feed takes bytes and returns what becomes of them. What fires does so after its exact byte.
func (s *Stream) Feed(data []byte, now time.Duration) (ops []Op) {
	ops = s.Tick(now)
	var out []byte
	for _, b := range data {
		if s.ended {
			return ops
		}
		s.offset++
		out = s.edit(out, b)
		for _, w := range slices.Clone(s.waiting) {
			if w.rule.When.Time >= 0 || !w.take(b, s.offset) {
				continue
			}
			s.drop(w)
			ops, out = append(ops, s.shape(out, now)...), nil
			if s.fire(w.rule, now); w.rule.Do.end() != Open {
				return append(ops, s.finish(nil, now, w.rule.Do.end()))
			}
		}
	}
	return append(ops, s.shape(out, now)...)
}

// Finish takes the end of the input.
func (s *Stream) Finish(now time.Duration) []Op {
	ops := s.Tick(now)
	if s.ended {
		return ops
	}
	return append(ops, s.finish(nil, now, HalfClosed))
}

// finish ends the stream. A reset comes at once, other ends after what is on its way.
func (s *Stream) finish(data []byte, now time.Duration, end End) Op {
	s.ended, s.conn.over = true, s.conn.over || end > HalfClosed
	if end == WasReset {
		return Op{Data: data, Due: now, End: end}
	}
	return Op{Data: data, Due: s.when(now, 0), End: end}
}

// edit passes a byte on, changed where a rule says so.
func (s *Stream) edit(out []byte, b byte) []byte {
	e := s.editing
	if e == nil {
		return append(out, b)
	}
	e.left--
	switch e.rule.Do {
	case Garble: // never the same byte
		out = append(out, b^byte(1+s.conn.draw(e.rule.Line, s.offset)%255))
	case Repeat:
		out, s.repeated = append(out, b), append(s.repeated, b)
	}
	if e.left == 0 {
		out = append(out, s.repeated...)
		s.editing, s.repeated = nil, nil
	}
	return out
}

// shape cuts output into pieces and gives each its time.
func (s *Stream) shape(out []byte, now time.Duration) (ops []Op) {
	s.lasting = slices.DeleteFunc(s.lasting, func(e effect) bool { return e.until > 0 && e.until <= now })
	size := len(out)
	for _, e := range s.lasting {
		if e.rule.Do == Pieces {
			size = min(size, int(e.rule.Amount))
		}
	}
	for len(out) > 0 {
		n := min(size, len(out))
		ops = append(ops, Op{Data: out[:n:n], Due: s.when(now, n)})
		out = out[n:]
	}
	return ops
}

const (
	pieceGap = time.Millisecond     // between pieces: they must not be read as one
	forGood  = 365 * 24 * time.Hour // longer than any run
)

// when is the time at which n bytes more are due, by all that lasts. It never goes back: bytes keep their order.
func (s *Stream) when(now time.Duration, n int) time.Duration {
	due := now
	for _, e := range s.lasting {
		switch r := e.rule; r.Do {
		case Delay:
			due = max(due, now+r.Delay)
			if r.Jitter > 0 {
				due = max(due, now+r.Delay+time.Duration(s.conn.draw(r.Line, s.offset)%uint64(r.Jitter)))
			}
		case Rate:
			due = max(due, s.due+time.Duration(float64(n)/float64(r.Amount)*float64(time.Second)))
		case Pieces:
			due = max(due, s.due+pieceGap)
		case Silence:
			if e.until == 0 {
				due = max(due, forGood)
			}
			due = max(due, e.until)
		}
	}
	s.due = max(s.due, due)
	return s.due
}
