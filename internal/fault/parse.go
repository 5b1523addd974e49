package fault

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

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

func (p *fieldReader) more() bool { return p.err == nil && len(p.fields) > 0 }

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
