package engine

// Changes says how a catalog differs from the one before it, for the log: a
// caller who is refused from one version on finds there what that version took
// away.
type Changes struct {
	RoutesAdded, RoutesRemoved, RoutesChanged int
	KeysAdded, KeysRevoked                    int
	QuotasChanged                             int
}

// ChangesFrom compares the catalog with an earlier one.
func (c *Catalog) ChangesFrom(old *Catalog) Changes {
	var out Changes
	out.RoutesAdded, out.RoutesRemoved, out.RoutesChanged = compare(old.Routes, c.Routes)
	out.KeysAdded, out.KeysRevoked, _ = compare(old.keys, c.keys)
	for name, a := range c.Accounts {
		if was, known := old.Accounts[name]; known && was.Quota != a.Quota {
			out.QuotasChanged++
		}
	}
	return out
}

// compare counts what a map gained, lost and holds otherwise than before.
func compare[K, V comparable](before, after map[K]V) (added, removed, changed int) {
	for key, value := range after {
		was, known := before[key]
		switch {
		case !known:
			added++
		case was != value:
			changed++
		}
	}
	return added, len(before) + added - len(after), changed
}
