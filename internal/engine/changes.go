package engine

// Changes summarises how a catalog differs from the previous one. It is logged,
// so that operators can see which version removed a caller's access.
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

// compare returns how many entries were added, removed and changed.
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
