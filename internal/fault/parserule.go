package fault

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// parseRule parses 'LINK [up|down] [conn N|every N|chance P] [time T|byte N|match "PATTERN" [nth N]] : FAULT'.
func (s *Script) parseRule(lineNumber int, fields []string) error {
	rule := Rule{
		ScriptLine: lineNumber, Link: fields[0], Direction: Both, Trigger: Trigger{Time: -1, Byte: -1, NthMatch: 1},
	}
	if !s.hasLink(rule.Link) {
		return fmt.Errorf("%s: unknown link or keyword", rule.Link)
	}
	r := &fieldReader{fields: fields[1:]}
	for r.hasMore() && r.peek() != ":" {
		rule.parseCondition(r)
	}
	r.take() // the colon
	if r.err == nil && !r.hasMore() {
		return errors.New("no fault after ':'")
	}
	rule.parseFault(r)
	if r.err != nil {
		return r.err
	}
	s.Rules = append(s.Rules, rule)
	return rule.validate()
}

// parseCondition parses one condition before the colon.
func (r *Rule) parseCondition(in *fieldReader) {
	switch field := in.take(); field {
	case "up":
		r.Direction = Up
	case "down":
		r.Direction = Down
	case "conn":
		r.ConnNumber = int(in.number(field, 1))
	case "every":
		r.EveryNth = int(in.number(field, 1))
	case "chance":
		r.Probability = in.probability(field)
	case "time":
		r.Trigger.Time = in.duration(field)
	case "byte":
		r.Trigger.Byte = in.number(field, 0)
	case "match":
		r.Trigger.Pattern = in.pattern(field)
	case "nth":
		r.Trigger.NthMatch = int(in.number(field, 1))
	default:
		in.fail(field, "unknown field")
	}
}

// parseFault parses the fault after the colon, with its options.
func (r *Rule) parseFault(in *fieldReader) {
	word := in.take()
	kind, known := kindsByWord[word]
	if !known {
		in.fail(word, "unknown fault")
		return
	}
	r.Kind = kind
	switch kind {
	case Delay:
		r.Delay = in.duration(word)
	case Rate, Pieces, Garble, Drop, Repeat:
		r.Amount = in.number(word, 1)
	case Silence, Refuse, Stall:
		if in.hasMore() {
			r.Duration = in.duration(word)
		}
	}
	for in.hasMore() {
		r.parseOption(in)
	}
}

// parseOption parses one option of a fault.
func (r *Rule) parseOption(in *fieldReader) {
	field := in.take()
	switch {
	case field == "jitter" && r.Kind == Delay:
		r.Jitter = in.duration(field)
	case field == "for" && r.Kind.hasForOption():
		r.Duration = in.duration(field)
	default:
		in.fail(field, "unknown field of %s", r.Kind)
	}
}

// fieldReader reads the fields of a rule one by one. It keeps the first error, and reads nothing after it.
type fieldReader struct {
	fields []string // not read yet
	err    error
}

func (r *fieldReader) hasMore() bool { return r.err == nil && len(r.fields) > 0 }

// peek returns the next field without taking it. There must be one.
func (r *fieldReader) peek() string { return r.fields[0] }

// take returns the next field, or "" if there is none.
func (r *fieldReader) take() string {
	if !r.hasMore() {
		return ""
	}
	field := r.fields[0]
	r.fields = r.fields[1:]
	return field
}

// fail records an error that names a field, unless there is an earlier error.
func (r *fieldReader) fail(field, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf(field+": "+format, args...)
	}
}

// number reads a whole number of at least lowest.
func (r *fieldReader) number(field string, lowest int64) int64 {
	value := r.take()
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < lowest {
		r.fail(field, "%q must be a whole number of at least %d", value, lowest)
	}
	return n
}

// duration reads a duration in Go's syntax, of at least 0.
func (r *fieldReader) duration(field string) time.Duration {
	value := r.take()
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		r.fail(field, "%q must be a duration of at least 0", value)
	}
	return d
}

// probability reads a number greater than 0 and at most 1.
func (r *fieldReader) probability(field string) float64 {
	value := r.take()
	p, err := strconv.ParseFloat(value, 64)
	inRange := p > 0 && p <= 1 // false for NaN
	if err != nil || !inRange {
		r.fail(field, "%q must be greater than 0 and at most 1", value)
	}
	return p
}

// pattern reads a quoted pattern, which must not be empty.
func (r *fieldReader) pattern(field string) string {
	value := r.take()
	pattern, err := strconv.Unquote(value)
	if err != nil || pattern == "" {
		r.fail(field, "%s must be a quoted pattern, not empty", value)
	}
	return pattern
}
