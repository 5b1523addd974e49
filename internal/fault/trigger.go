package fault

// pendingRule is a rule that has not fired yet, with the state of the search for its pattern.
type pendingRule struct {
	rule          *Rule
	failureTable  []int // failure table of the Knuth-Morris-Pratt search; nil without a pattern
	matchedLength int   // length of the pattern's prefix that the last bytes of the stream match
	matchCount    int   // complete matches so far
}

// failureTable returns for each prefix of a pattern the length of the longest proper prefix that is also its
// suffix.
func failureTable(pattern string) []int {
	table := make([]int, len(pattern))
	length := 0
	for i := 1; i < len(pattern); i++ {
		for length > 0 && pattern[i] != pattern[length] {
			length = table[length-1]
		}
		if pattern[i] == pattern[length] {
			length++
		}
		table[i] = length
	}
	return table
}

// advance takes one byte of the stream and reports whether the rule fires after it. offset is the byte's position in
// the stream, from 1.
func (p *pendingRule) advance(b byte, offset int64) bool {
	pattern := p.rule.Trigger.Pattern
	if pattern == "" {
		return p.rule.Trigger.Byte == offset
	}
	for p.matchedLength > 0 && (p.matchedLength == len(pattern) || pattern[p.matchedLength] != b) {
		p.matchedLength = p.failureTable[p.matchedLength-1]
	}
	if pattern[p.matchedLength] == b {
		p.matchedLength++
	}
	if p.matchedLength < len(pattern) {
		return false
	}
	p.matchCount++
	return p.matchCount == p.rule.Trigger.NthMatch
}
