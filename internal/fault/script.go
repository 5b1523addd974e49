// Package fault plans faults on streams of bytes: a script says which, a seed decides what is left to chance, and the
// same bytes always meet the same faults, however they are cut into reads. It touches no socket and no clock.
package fault

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Direction is a side of a relayed connection.
type Direction int

// The directions: up goes from whoever connected to the target, down comes back. Both stands for either.
const (
	Up Direction = iota
	Down
	Both
)

func (d Direction) String() string { return [...]string{"up", "down", "both"}[d] }

// Kind is what a fault does.
type Kind int

// The verbs. Those up to Pieces last for a time; Silence holds everything back with the connection open; those from
// HalfClose to Reset end it; the next three change bytes; the last two are about connections that are yet to come.
const (
	Delay Kind = iota
	Rate
	Pieces
	Silence
	HalfClose
	Close
	Reset
	Garble
	Drop
	Repeat
	Refuse
	Stall
)

var kindsByWord = map[string]Kind{
	"delay": Delay, "rate": Rate, "pieces": Pieces, "silence": Silence, "halfclose": HalfClose, "close": Close,
	"reset": Reset, "garble": Garble, "drop": Drop, "repeat": Repeat, "refuse": Refuse, "stall": Stall,
}

func (v Kind) String() string {
	for name, verb := range kindsByWord {
		if verb == v {
			return name
		}
	}
	return "none"
}

// Link is an address to listen on and the one to relay to.
type Link struct {
	Name           string
	Listen, Target netip.AddrPort
}

// Trigger says when a rule fires: at a time since the start, after so many bytes, after the nth match of a pattern;
// with none of them as soon as its connection begins.
type Trigger struct {
	Time     time.Duration // -1: not by time
	Byte     int64         // -1: not by bytes
	Pattern  string        // empty: not by a pattern
	NthMatch int
}

// Rule is one line of a script.
type Rule struct {
	ScriptLine  int
	Link        string
	Direction   Direction
	ConnNumber  int     // which connection of the link, from 1; 0: every one
	EveryNth    int     // each so manieth; 0: not by this
	Probability float64 // by chance; 0: not by this
	Trigger     Trigger
	Kind        Kind
	Duration    time.Duration // how long it lasts; 0: for good
	Amount      int64         // bytes, or bytes a second
	Delay       time.Duration
	Jitter      time.Duration
}

// Script is a whole plan as it was written.
type Script struct {
	Seed  uint64
	Links []Link
	Rules []Rule
}

// ErrScript marks a script that can't be used.
var ErrScript = errors.New("script")

// Parse reads a script and checks all of it. Errors name the line and the field.
func Parse(text string) (*Script, error) {
	s := &Script{Seed: 1}
	for i, line := range strings.Split(text, "\n") {
		fields, err := splitFields(line)
		if err == nil && len(fields) > 0 {
			err = s.parseLine(i+1, fields)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrScript, i+1, err)
		}
	}
	if len(s.Links) == 0 {
		return nil, fmt.Errorf("%w: no link", ErrScript)
	}
	return s, s.checkConflicts()
}

// splitFields cuts a line into words; a quoted word may hold anything, a # outside of one begins a comment.
func splitFields(line string) (fields []string, err error) {
	for {
		line = strings.TrimLeft(line, " \t\r")
		if line == "" || line[0] == '#' {
			return fields, nil
		}
		word := line
		if line[0] == '"' {
			if word, err = strconv.QuotedPrefix(line); err != nil {
				return nil, errors.New("a quoted word does not end")
			}
		} else if end := strings.IndexAny(line, " \t\r"); end >= 0 {
			word = line[:end]
		}
		fields, line = append(fields, word), line[len(word):]
	}
}

func (s *Script) parseLine(number int, fields []string) (err error) {
	switch fields[0] {
	case "seed":
		if len(fields) != 2 {
			return errors.New("seed: one number is wanted")
		}
		if s.Seed, err = strconv.ParseUint(fields[1], 10, 64); err != nil {
			return fmt.Errorf("seed: %q is no number", fields[1])
		}
		return nil
	case "link":
		return s.parseLink(fields)
	}
	return s.parseRule(number, fields)
}

func (s *Script) parseLink(f []string) (err error) {
	if len(f) != 6 || f[2] != "listen" || f[4] != "to" {
		return errors.New("link: wanted is 'link NAME listen ADDRESS to ADDRESS'")
	}
	if s.hasLink(f[1]) {
		return fmt.Errorf("link: %s is named twice", f[1])
	}
	l := Link{Name: f[1]}
	if l.Listen, err = parseLoopback("listen", f[3]); err != nil {
		return err
	}
	if l.Target, err = parseLoopback("to", f[5]); err != nil {
		return err
	}
	s.Links = append(s.Links, l)
	return nil
}

// parseLoopback reads an address; traffic with faults must not reach another machine.
func parseLoopback(field, text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fmt.Errorf("%s: %q is no address", field, text)
	}
	if !addr.Addr().IsLoopback() {
		return addr, fmt.Errorf("%s: %s is not on loopback", field, text)
	}
	return addr, nil
}

func (s *Script) hasLink(link string) bool {
	for _, l := range s.Links {
		if l.Name == link {
			return true
		}
	}
	return false
}

// parseRule reads 'LINK [up|down] [conn N|every N|chance P] [time T|byte N|match "P" [nth N]] : VERB …'.
func (s *Script) parseRule(number int, f []string) error {
	r := Rule{ScriptLine: number, Link: f[0], Direction: Both, Trigger: Trigger{Time: -1, Byte: -1, NthMatch: 1}}
	if !s.hasLink(r.Link) {
		return fmt.Errorf("%s: no such link, or an unknown word", r.Link)
	}
	p := &fieldReader{fields: f[1:]}
	for p.more() && p.peek() != ":" {
		r.parseCondition(p)
	}
	if p.take(); p.err == nil && !p.more() {
		p.err = errors.New("no fault after ':'")
	}
	if p.err == nil {
		r.parseFault(p)
	}
	if p.err == nil && p.more() {
		p.err = fmt.Errorf("%s: unknown field", p.peek())
	}
	if p.err == nil {
		p.err = r.validate()
	}
	s.Rules = append(s.Rules, r)
	return p.err
}

// fieldReader are the fields of a rule that are still to be read. The first error stays.
type fieldReader struct {
	fields []string
	err    error
}

func (p *fieldReader) more() bool   { return p.err == nil && len(p.fields) > 0 }
func (p *fieldReader) peek() string { return p.fields[0] }

func (p *fieldReader) take() string {
	if p.err != nil || len(p.fields) == 0 {
		return ""
	}
	word := p.fields[0]
	p.fields = p.fields[1:]
	return word
}

func (p *fieldReader) fail(field, format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(field+": "+format, args...)
	}
}

func (p *fieldReader) number(field string, least int64) int64 {
	text := p.take()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < least {
		p.fail(field, "%q is no number from %d on", text, least)
	}
	return n
}

func (p *fieldReader) duration(field string) time.Duration {
	text := p.take()
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		p.fail(field, "%q is no time from 0 on", text)
	}
	return d
}

func (p *fieldReader) chance(field string) float64 {
	text := p.take()
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0 && x <= 1) {
		p.fail(field, "%q is no share over 0, up to 1", text)
	}
	return x
}

func (r *Rule) parseCondition(p *fieldReader) {
	switch field := p.take(); field {
	case "up":
		r.Direction = Up
	case "down":
		r.Direction = Down
	case "conn":
		r.ConnNumber = int(p.number(field, 1))
	case "every":
		r.EveryNth = int(p.number(field, 1))
	case "chance":
		r.Probability = p.chance(field)
	case "time":
		r.Trigger.Time = p.duration(field)
	case "byte":
		r.Trigger.Byte = p.number(field, 0)
	case "match":
		text := p.take()
		pattern, err := strconv.Unquote(text)
		if err != nil || pattern == "" {
			p.fail(field, "%s is no quoted pattern", text)
		}
		r.Trigger.Pattern = pattern
	case "nth":
		r.Trigger.NthMatch = int(p.number(field, 1))
	default:
		p.fail(field, "unknown field")
	}
}

func (r *Rule) parseFault(p *fieldReader) {
	name := p.take()
	verb, known := kindsByWord[name]
	if !known {
		p.fail(name, "unknown fault")
		return
	}
	switch r.Kind = verb; verb {
	case Delay:
		r.Delay = p.duration(name)
	case Rate, Pieces, Garble, Drop, Repeat:
		r.Amount = p.number(name, 1)
	case Silence, Refuse, Stall:
		if p.more() {
			r.Duration = p.duration(name)
		}
	}
	for p.more() {
		switch field := p.take(); {
		case field == "jitter" && verb == Delay:
			r.Jitter = p.duration(field)
		case field == "for" && verb <= Pieces:
			r.Duration = p.duration(field)
		default:
			p.fail(field, "unknown field of %s", name)
		}
	}
}

// maxRepeatBytes bounds what a stream keeps to send once more.
const maxRepeatBytes = 1 << 20

// validate looks for fields that do not go together.
func (r *Rule) validate() error {
	set := func(list ...bool) (n int) {
		for _, on := range list {
			if on {
				n++
			}
		}
		return n
	}
	byBytes := r.Trigger.Byte >= 0 || r.Trigger.Pattern != ""
	switch {
	case set(r.ConnNumber > 0, r.EveryNth > 0, r.Probability > 0) > 1:
		return errors.New("conn: only one of conn, every and chance can be")
	case set(r.Trigger.Time >= 0, r.Trigger.Byte >= 0, r.Trigger.Pattern != "") > 1:
		return errors.New("time: only one of time, byte and match can be")
	case r.Trigger.NthMatch > 1 && r.Trigger.Pattern == "":
		return errors.New("nth: goes with match")
	case (r.Kind == Refuse || r.Kind == Stall) && (byBytes || r.Direction != Both || r.EveryNth > 0 || r.Probability > 0):
		return fmt.Errorf("%s: goes with conn or time alone", r.Kind)
	case r.Kind == Repeat && r.Amount > maxRepeatBytes:
		return fmt.Errorf("repeat: %d bytes are more than the %d that are kept", r.Amount, maxRepeatBytes)
	case (r.Kind == Refuse || r.Kind == Stall) && r.Duration == 0:
		return fmt.Errorf("%s: a time is wanted", r.Kind)
	}
	return nil
}

// conflictGroup sorts verbs by what they take hold of: two of one conflictGroup at one point can't both be carried out.
func (v Kind) conflictGroup() int {
	switch v {
	case HalfClose, Close, Reset, Silence:
		return -1
	case Garble, Drop, Repeat:
		return -2
	case Refuse, Stall:
		return -3
	}
	return int(v)
}

// checkConflicts looks for two rules that take hold of the same thing at the same point.
func (s *Script) checkConflicts() error {
	for i, a := range s.Rules {
		for _, b := range s.Rules[:i] {
			if a.conflictsWith(b) {
				return fmt.Errorf("%w: line %d: %s: contradicts %s in line %d", ErrScript, a.ScriptLine, a.Kind, b.Kind, b.ScriptLine)
			}
		}
	}
	return nil
}

func (r Rule) conflictsWith(o Rule) bool {
	if r.Link != o.Link || r.Kind.conflictGroup() != o.Kind.conflictGroup() || r.Direction != Both && o.Direction != Both && r.Direction != o.Direction {
		return false
	}
	if r.ConnNumber > 0 && o.ConnNumber > 0 && r.ConnNumber != o.ConnNumber {
		return false
	}
	if a, b := r.ConnNumber, o.EveryNth; a > 0 && b > 0 && a%b != 0 {
		return false
	}
	if a, b := o.ConnNumber, r.EveryNth; a > 0 && b > 0 && a%b != 0 {
		return false
	}
	if r.Trigger.Time >= 0 && o.Trigger.Time >= 0 {
		return !(r.Trigger.Time+r.Duration <= o.Trigger.Time && r.Duration > 0 || o.Trigger.Time+o.Duration <= r.Trigger.Time && o.Duration > 0) ||
			r.Trigger.Time == o.Trigger.Time
	}
	return r.Trigger == o.Trigger
}
