package fleet

import "time"

const (
	tickInterval    = 100 * time.Millisecond
	headReadTimeout = 3 * time.Second
	textReadTimeout = 5 * time.Second
	writeTimeout    = 3 * time.Second
	prepareTimeout  = 3 * time.Second
	inboxSize       = 1024
)

type options struct {
	bounds       Bounds
	memberBounds MemberBounds
	tick         time.Duration
}

// Option configures a Fleet.
type Option func(*options)

// WithBounds sets the bounds of the DocumentTracker.
func WithBounds(b Bounds) Option {
	return func(o *options) { o.bounds = b }
}

// WithMemberBounds sets the bounds of Members.
func WithMemberBounds(b MemberBounds) Option {
	return func(o *options) { o.memberBounds = b }
}

// WithPollInterval sets the mean time between two reads of the document head
// and of the member rows.
func WithPollInterval(d time.Duration) Option {
	return func(o *options) { o.bounds.Poll, o.memberBounds.Poll = d, d }
}
