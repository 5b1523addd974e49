package fault

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// defaultSeed is the seed of a script that sets none.
const defaultSeed = 1

// blanks separate the fields of a line.
const blanks = " \t\r"

// Parse parses a script and validates all of it. Its errors wrap ErrScript. An error in a line names
// the line and, where there is one, the field at fault.
func Parse(text string) (*Script, error) {
	s := &Script{Seed: defaultSeed}
	for i, line := range strings.Split(text, "\n") {
		lineNumber := i + 1
		if err := s.parseLine(lineNumber, line); err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrScript, lineNumber, err)
		}
	}
	if len(s.Links) == 0 {
		return nil, fmt.Errorf("%w: no link", ErrScript)
	}
	return s, s.checkConflicts()
}

func (s *Script) parseLine(lineNumber int, line string) error {
	fields, err := splitFields(line)
	if err != nil || len(fields) == 0 {
		return err
	}
	switch fields[0] {
	case "seed":
		return s.parseSeed(fields)
	case "link":
		return s.parseLink(fields)
	default:
		return s.parseRule(lineNumber, fields)
	}
}

// splitFields splits a line into fields. A quoted field may contain blanks and #; a # at the beginning of a field
// starts a comment.
func splitFields(line string) (fields []string, err error) {
	for {
		line = strings.TrimLeft(line, blanks)
		if line == "" || line[0] == '#' {
			return fields, nil
		}
		field, err := firstField(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field)
		line = line[len(field):]
	}
}

func firstField(line string) (string, error) {
	if line[0] == '"' {
		quoted, err := strconv.QuotedPrefix(line)
		if err != nil {
			return "", errors.New("a quoted word has an invalid escape or no closing quote")
		}
		return quoted, nil
	}
	end := strings.IndexAny(line, blanks)
	if end >= 0 {
		return line[:end], nil
	}
	return line, nil
}

// parseSeed parses 'seed NUMBER'.
func (s *Script) parseSeed(fields []string) error {
	if len(fields) != 2 {
		return errors.New("seed: one number is required")
	}
	seed, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return fmt.Errorf("seed: %q must be a whole number of at least 0", fields[1])
	}
	s.Seed = seed
	return nil
}

// parseLink parses 'link NAME listen ADDRESS to ADDRESS'.
func (s *Script) parseLink(fields []string) (err error) {
	if len(fields) != 6 || fields[2] != "listen" || fields[4] != "to" {
		return errors.New("link: must be 'link NAME listen ADDRESS to ADDRESS'")
	}
	link := Link{Name: fields[1]}
	if s.hasLink(link.Name) {
		return fmt.Errorf("link: %s is named twice", link.Name)
	}
	link.Listen, err = parseLoopback("listen", fields[3])
	if err != nil {
		return err
	}
	link.Target, err = parseLoopback("to", fields[5])
	if err != nil {
		return err
	}
	s.Links = append(s.Links, link)
	return nil
}

// parseLoopback parses an address and a port. Only loopback is accepted, so that faulty traffic can't reach
// another machine.
func parseLoopback(field, value string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return addr, fmt.Errorf("%s: %q must be an IP address and a port", field, value)
	}
	if !addr.Addr().IsLoopback() {
		return addr, fmt.Errorf("%s: %s is not on loopback", field, value)
	}
	return addr, nil
}

func (s *Script) hasLink(name string) bool {
	return slices.ContainsFunc(s.Links, func(l Link) bool { return l.Name == name })
}
