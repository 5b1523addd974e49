package fault

// pendingRule is a rule that has yet to fire, with how far its pattern has been seen.
type pendingRule struct {
	rule         *Rule
	failureTable []int // of Knuth, Morris and Pratt
	matched      int
	matches      int
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
