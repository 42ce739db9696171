package load

import (
	"sync"
	"time"
)

// quotaMeter decides which requests of an account are within its quota,
// independently of what the proxies admit: the account's requests so far must
// fit Rate and Burst. After a request that does not fit, no request counts as
// within the quota until a whole burst could have been refilled.
type quotaMeter struct {
	mu            sync.Mutex
	rate          float64
	burst         float64
	tokens        float64
	last          time.Time
	exceededUntil time.Time
}

func newQuotaMeter(a *Account, now time.Time) *quotaMeter {
	return &quotaMeter{rate: float64(a.Rate), burst: float64(a.Burst), tokens: float64(a.Burst), last: now}
}

// spend takes a token and reports whether the request is within the quota.
func (m *quotaMeter) spend(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.After(m.last) {
		m.tokens = min(m.burst, m.tokens+m.rate*now.Sub(m.last).Seconds())
		m.last = now
	}
	if m.tokens < 1 {
		m.exceededUntil = now.Add(time.Duration(m.burst / max(m.rate, 1) * float64(time.Second)))
		return false
	}
	m.tokens--
	return !now.Before(m.exceededUntil)
}
