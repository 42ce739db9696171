package fleet

// Disable turns off one safeguard.
func (t *DocumentTracker) Disable(m mechanism) { t.disabled |= m }
