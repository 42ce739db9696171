package fleet

// Disable takes one safeguard away.
func (s *Spread) Disable(m mechanism) { s.off |= m }
