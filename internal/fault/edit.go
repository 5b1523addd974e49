package fault

// edit appends the output for one input byte to out. While no rule that changes bytes is active, the output is the
// byte itself. While a Drop rule is active, there is none.
func (s *StreamPlan) edit(out []byte, b byte) []byte {
	editingRule := s.editingRule
	if editingRule == nil {
		return append(out, b)
	}
	editingRule.bytesLeft--
	switch editingRule.rule.Kind {
	case Garble:
		out = append(out, b^s.garbleMask(editingRule.rule))
	case Repeat:
		out = append(out, b)
		s.bytesToRepeat = append(s.bytesToRepeat, b)
	}
	if editingRule.bytesLeft == 0 {
		out = append(out, s.bytesToRepeat...)
		s.editingRule = nil
		s.bytesToRepeat = nil
	}
	return out
}

// garbleMask returns the mask that a Garble rule XORs with the byte at the current offset. It is never 0, so that the
// byte always changes.
func (s *StreamPlan) garbleMask(r *Rule) byte {
	const maskCount = 255 // number of possible masks, which are 1 to 255
	return byte(1 + s.conn.draw(r.ScriptLine, s.offset)%maskCount)
}
