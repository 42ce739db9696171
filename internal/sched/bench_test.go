package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/engine"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// BenchmarkAcquireLagging measures an arrival while reads wait for the primary,
// because the idle replicas lag.
func BenchmarkAcquireLagging(b *testing.B) {
	now := time.Unix(1000, 0)
	s := New()
	s.Update(now, Limits{MaxConns: 23})
	s.Update(now, Ownership{Owner: true})
	s.Update(now, Directory{Endpoints: []Endpoint{{ID: "a", Slots: 3}, {ID: "b", Slots: 3}, {ID: "c", Slots: 3}}})
	s.Update(now, Primary{Endpoint: "a", Usable: true})
	for n := range 100 {
		now = now.Add(minProofInterval)
		s.Update(now, EndpointObserved{Endpoint: "a", Began: now, Position: ident.LogPosition{Term: 1, Position: ident.Position(n + 1)}, WasPrimary: true})
	}
	s.Update(now, EndpointFailure{Endpoint: "b", Kind: Behind})
	s.Update(now, EndpointFailure{Endpoint: "c", Kind: Behind})
	acquire := func(n int) {
		call := &engine.Call{Phase: engine.Single, Account: ident.Account(fmt.Sprint("account", n%8)), Priority: n % 2, MaxLag: time.Second, Target: time.Minute, Timeout: time.Hour}
		for _, c := range s.Update(now, Acquire{Waiter: WaiterID(n), Call: call, Deadline: now.Add(time.Hour)}) {
			if d, dials := c.(Dial); dials {
				s.Update(now, DialDone{Conn: d.Conn, Result: Connected})
			}
		}
	}
	next := 104
	for n := range next {
		acquire(n)
	}
	for b.Loop() {
		acquire(next)
		s.Update(now, CancelAcquire{Waiter: WaiterID(next)})
		next++
	}
}

// BenchmarkAcquire measures an arrival at a group whose slots are all occupied,
// while calls of eight accounts wait.
func BenchmarkAcquire(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := New()
			s.Update(now, Limits{MaxConns: 23})
			s.Update(now, Ownership{Owner: true})
			s.Update(now, Directory{Endpoints: []Endpoint{{ID: "a", Slots: 3}}})
			s.Update(now, Primary{Endpoint: "a", Usable: true})
			acquire := func(n int) {
				call := &engine.Call{Phase: engine.Single, Account: ident.Account(fmt.Sprint("account", n%8)), Priority: n % 2, PrimaryOnly: true, Target: time.Minute, Timeout: time.Hour}
				for _, c := range s.Update(now, Acquire{Waiter: WaiterID(n), Call: call, Deadline: now.Add(time.Hour)}) {
					if d, dials := c.(Dial); dials {
						s.Update(now, DialDone{Conn: d.Conn, Result: Connected})
					}
				}
			}
			for n := range waiting + 4 {
				acquire(n)
			}
			next := waiting + 4
			for b.Loop() {
				acquire(next)
				s.Update(now, CancelAcquire{Waiter: WaiterID(next)})
				next++
			}
		})
	}
}
