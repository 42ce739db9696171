package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// promote simulates a promotion that takes effect immediately, late, or without
// an answer.
func (s *sim) promote(i int, c Promote) {
	answer := s.answerTo(i)
	s.pending++
	arrive := func() PromoteResult {
		s.pending--
		if c.Epoch < s.fence || s.servers[c.Endpoint].down {
			return Refused
		}
		s.fence = c.Epoch
		if !s.servers[c.Endpoint].isPrimary {
			s.pending++
			s.schedule(400*time.Millisecond, func() {
				s.pending--
				s.completePromotion(c.Endpoint, c.Epoch)
			})
		}
		return Accepted
	}
	if s.chance(4) {
		s.schedule(time.Duration(s.random.IntN(6000))*time.Millisecond, func() { arrive() })
		s.schedule(time.Second, func() { answer(Promoted{Endpoint: c.Endpoint, Result: NoAnswer}) })
		return
	}
	s.schedule(20*time.Millisecond, func() { answer(Promoted{Endpoint: c.Endpoint, Result: arrive()}) })
}

// completePromotion makes a server the primary of the next term and checks that
// it holds every acknowledged commit.
func (s *sim) completePromotion(id ident.Endpoint, epoch ident.Epoch) {
	v := s.servers[id]
	if v.down || v.isPrimary {
		return
	}
	s.promotions++
	s.logf("%s is the primary of term %d by epoch %d", id, s.term+1, epoch)
	for number, index := range s.acked {
		if !v.holds(index, number) {
			for _, line := range s.log[max(0, len(s.log)-60):] {
				s.t.Log(line)
			}
			s.t.Fatalf("seed %d: acknowledged commit %d is missing at %s", s.seed, number, id)
		}
	}
	s.term++
	for _, o := range s.servers {
		o.isPrimary, o.sealedTerm, o.draining = false, 0, false
		if o != v && len(o.log) > len(v.log) {
			o.log, o.terms = o.log[:len(v.log)], o.terms[:len(v.log)]
		}
	}
	v.isPrimary, v.term = true, s.term
	s.publishAll()
}
