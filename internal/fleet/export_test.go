package fleet

// Disable takes one safeguard away.
func (s *DocumentTracker) Disable(m mechanism) { s.off |= m }
