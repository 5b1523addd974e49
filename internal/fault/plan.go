package fault

import (
	"fmt"
	"strconv"
	"time"
)

// NoOffset is the Offset of a fault whose rule is timed, or blocks connections before they are accepted.
const NoOffset = -1

// Firing is a record of a fault that has fired.
type Firing struct {
	Link       string
	ConnNumber int // from 1; 0: the rule blocks new connections and selects none by number
	Direction  Direction
	Offset     int64 // bytes of the stream before the fault fired, or NoOffset
	ScriptLine int
	Kind       Kind
}

// String returns the log line of a fault. It holds no time, so that the logs of two runs can be compared.
func (f Firing) String() string {
	offset := "-"
	if f.Offset >= 0 {
		offset = strconv.FormatInt(f.Offset, 10)
	}
	return fmt.Sprintf("%s#%d %s %s line %d %s", f.Link, f.ConnNumber, f.Direction, offset, f.ScriptLine, f.Kind)
}

// Ending says whether and how a stream ends after an Output.
type Ending int

// The endings; EndClosed and EndReset also end the other direction.
const (
	NotEnded      Ending = iota
	EndHalfClosed        // this direction is closed with FIN; the other continues
	EndClosed            // the connection is closed
	EndReset             // the connection is closed with RST
)

// Output holds data, the time to write it at, and the ending that follows it. Data may be empty.
type Output struct {
	Data   []byte
	Due    time.Duration // since the start of the run
	Ending Ending        // of the stream, after Data
}

// ConnPlan plans the faults of one connection. A ConnPlan and its two StreamPlans share state: callers must not use
// them concurrently.
type ConnPlan struct {
	script  *Script
	link    string
	number  int
	streams [2]*StreamPlan // indexed by Up and Down
	firings []Firing
	ended   bool // a Close or Reset rule has fired; no rule fires after it in either direction
}

// PlanConn returns the plan for a connection of a link. The connection begins at now. Each link numbers its
// connections from 1.
func (s *Script) PlanConn(link string, number int, now time.Duration) *ConnPlan {
	c := &ConnPlan{script: s, link: link, number: number}
	for d := range c.streams {
		c.streams[d] = &StreamPlan{conn: c, direction: Direction(d)}
	}
	for i := range s.Rules {
		rule := &s.Rules[i]
		if rule.Link != link || rule.Kind.BlocksNewConns() || !c.isSelected(rule) {
			continue
		}
		for d, stream := range c.streams {
			if rule.Direction.overlaps(Direction(d)) {
				stream.addRule(rule, now)
			}
		}
	}
	return c
}

// Stream returns the plan of one direction.
func (c *ConnPlan) Stream(d Direction) *StreamPlan { return c.streams[d] }

// TakeFirings returns the faults that have fired since the last call.
func (c *ConnPlan) TakeFirings() []Firing {
	firings := c.firings
	c.firings = nil
	return firings
}

// isSelected reports whether a rule applies to this connection. Selection by chance depends only on the seed, the
// rule's line, the link and the connection's number.
func (c *ConnPlan) isSelected(r *Rule) bool {
	switch {
	case r.ConnNumber > 0:
		return r.ConnNumber == c.number
	case r.EveryNth > 0:
		return c.number%r.EveryNth == 0
	case r.Probability > 0:
		return unitInterval(c.draw(r.ScriptLine, 0)) < r.Probability
	default:
		return true
	}
}

// draw returns a pseudorandom number. It depends only on the seed, the link, the connection's number, a rule's line
// and an offset, not on earlier draws.
func (c *ConnPlan) draw(scriptLine int, offset int64) uint64 {
	const increment = 0x9e3779b97f4a7c15 // of splitmix64
	x := c.script.Seed
	for _, input := range []uint64{uint64(c.number), uint64(scriptLine), uint64(offset)} {
		x = mix(x + input + increment)
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

// unitInterval maps a pseudorandom number to [0, 1).
func unitInterval(x uint64) float64 {
	const mantissaBits = 53 // of a float64
	return float64(x>>(64-mantissaBits)) / (1 << mantissaBits)
}
