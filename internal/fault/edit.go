package fault

// edit appends the output for one input byte to out. While no rule that changes bytes is active, the output is the
// byte itself. While a Drop rule is active, there is none.
func (s *StreamPlan) edit(out []byte, b byte) []byte {
	editing := s.editing
	if editing == nil {
		return append(out, b)
	}
	editing.bytesLeft--
	switch editing.rule.Kind {
	case Garble:
		out = append(out, b^s.garbleMask(editing.rule))
	case Repeat:
		out = append(out, b)
		s.repeated = append(s.repeated, b)
	}
	if editing.bytesLeft == 0 {
		out = append(out, s.repeated...)
		s.editing = nil
		s.repeated = nil
	}
	return out
}

// garbleMask returns the mask that a Garble rule XORs with the byte at the current offset. It is never 0, so that the
// byte always changes.
func (s *StreamPlan) garbleMask(r *Rule) byte {
	const masks = 255 // number of possible masks, which are 1 to 255
	return byte(1 + s.conn.draw(r.ScriptLine, s.offset)%masks)
}
