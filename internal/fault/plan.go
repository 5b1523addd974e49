package fault

import (
	"fmt"
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
