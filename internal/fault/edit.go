package fault

// edit appends what becomes of the next byte: with no editing rule in force the byte itself.
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

// garbleMask is the mask for the byte at the present offset. It is never 0, so that the byte always changes.
func (s *StreamPlan) garbleMask(r *Rule) byte {
	const masks = 255 // 1 to 255
	return byte(1 + s.conn.draw(r.ScriptLine, s.offset)%masks)
}
