package load

import (
	"sync"
	"time"
)

// meter tells which requests of an account were inside its quota, whatever
// the proxies admitted: the account's requests so far fit Rate and Burst. A
// request that does not fit spoils the verdict until a whole burst could have
// been refilled.
type meter struct {
	mu      sync.Mutex
	rate    float64
	burst   float64
	tokens  float64
	last    time.Time
	spoiled time.Time
}

func newMeter(a *Account, now time.Time) *meter {
	return &meter{rate: float64(a.Rate), burst: float64(a.Burst), tokens: float64(a.Burst), last: now}
}

// inside spends a token and reports whether the request is inside the quota.
func (m *meter) inside(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.After(m.last) {
		m.tokens = min(m.burst, m.tokens+m.rate*now.Sub(m.last).Seconds())
		m.last = now
	}
	if m.tokens < 1 {
		m.spoiled = now.Add(time.Duration(m.burst / max(m.rate, 1) * float64(time.Second)))
		return false
	}
	m.tokens--
	return !now.Before(m.spoiled)
}
