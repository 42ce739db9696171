package fleet

// Disable turns off one safeguard.
func (t *DocumentTracker) Disable(m safeguard) { t.disabled |= m }
