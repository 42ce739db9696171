package peer

import "time"

const (
	// stableAfter is how long a link has to last for the next dial to be soon.
	stableAfter = 5 * time.Second
	// maxFlapBackoff is the longest pause before a peer is dialled again whose links
	// open and then fail.
	maxFlapBackoff = 4 * time.Second
)

// redialBackoff decides how long to pause before a peer is dialled again. The pause
// doubles while dialling fails, up to longest. It doubles also while links open and
// fail soon after, up to maxFlapBackoff, because each of them costs the calls that
// run on it.
type redialBackoff struct {
	shortest, longest time.Duration
	failed            time.Duration // the latest pause after a dial that failed
	flapped           time.Duration // the latest pause after a link that did not last
}

// next returns the pause after a dial that opened a link, or failed to, and the time
// from the dial to the end of the link.
func (b *redialBackoff) next(connected bool, lasted time.Duration) time.Duration {
	switch {
	case !connected:
		b.failed = min(max(b.shortest, 2*b.failed), b.longest)
		return max(b.failed, b.flapped)
	case lasted >= stableAfter:
		b.flapped = 0
	default:
		b.flapped = min(max(b.shortest, 2*b.flapped), max(b.longest, maxFlapBackoff))
	}
	b.failed = 0
	return max(b.shortest, b.flapped)
}
