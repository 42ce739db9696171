package acct

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var noLimit = FairQueueLimits{MaxWait: time.Hour}

// naive is the queue that FairQueue replaces: first come, first served.
type naive[T any] struct{ items []T }

func (n *naive[T]) push(item T) { n.items = append(n.items, item) }

func (n *naive[T]) pop() (item T, ok bool) {
	if len(n.items) == 0 {
		return item, false
	}
	item, n.items = n.items[0], n.items[1:]
	return item, true
}

type waiter struct {
	account ident.Account
	number  int
}

// With one account FairQueue is first come, first served; with several it
// serves the same items, each account's in order.
func TestFairAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, n := NewFairQueue[waiter](noLimit), &naive[waiter]{}
		accounts := rapid.IntRange(1, 4).Draw(t, "accounts")
		now := time.Unix(0, 0)
		var fair, plain []waiter
		for i := range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			if rapid.Bool().Draw(t, "push") {
				a := rapid.IntRange(1, accounts).Draw(t, "account")
				w := waiter{ident.Account(fmt.Sprint(a)), i}
				if ticket, _ := f.Push(w.account, a, w, now); ticket == nil {
					t.Fatal("refused below the limits")
				}
				n.push(w)
				continue
			}
			a, okA := f.Pop(now)
			b, okB := n.pop()
			if okA != okB {
				t.Fatal("one queue is empty and the other is not")
			}
			if okA {
				fair, plain = append(fair, a), append(plain, b)
			}
		}
		for f.Len() > 0 {
			a, _ := f.Pop(now)
			b, _ := n.pop()
			fair, plain = append(fair, a), append(plain, b)
		}
		if accounts == 1 {
			NewWithT(t).Expect(fair).To(Equal(plain))
		}
		NewWithT(t).Expect(fair).To(ConsistOf(plain))
		last := make(map[ident.Account]int)
		for _, w := range fair {
			if last[w.account] > w.number {
				t.Fatalf("%s was served out of order", w.account)
			}
			last[w.account] = w.number
		}
	})
}

// While several accounts wait, each gets its share by weight: after any number
// of pops it is behind by less than one round.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFairQueue[int](noLimit)
		weights := rapid.SliceOfN(rapid.IntRange(1, 9), 2, 6).Draw(t, "weights")
		sum := 0
		for i, w := range weights {
			sum += w
			for range 1000 {
				f.Push(ident.Account(fmt.Sprint(i)), w, i, time.Unix(0, 0))
			}
		}
		served := make([]int, len(weights))
		for pops := 1; pops <= 1000; pops++ {
			i, _ := f.Pop(time.Unix(0, int64(pops)))
			served[i]++
			for j, w := range weights {
				if behind := float64(pops*w)/float64(sum) - float64(served[j]); behind >= float64(w)+1 {
					t.Fatalf("account %d of weight %d is %.2f behind after %d pops", j, w, behind, pops)
				}
			}
		}
	})
}

// An account that floods is refused for its own queue, and delays a quiet one
// by at most a round; the naive queue makes the quiet one wait for all.
func TestFairUnderFlood(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	f, n := NewFairQueue[string](FairQueueLimits{MaxWait: 200 * time.Millisecond}), &naive[string]{}
	refused := 0
	for range 1000 {
		if ticket, retry := f.Push("flood", 1, "flood", now); ticket == nil {
			g.Expect(retry).To(BeNumerically(">", 0))
			refused++
		}
		n.push("flood")
	}
	g.Expect(refused).To(BeNumerically(">", 900))
	ticket, _ := f.Push("quiet", 1, "quiet", now)
	g.Expect(ticket).NotTo(BeNil())
	n.push("quiet")
	g.Expect(popsUntil(func() string { s, _ := f.Pop(now); return s })).To(BeNumerically("<=", 2))
	g.Expect(popsUntil(func() string { s, _ := n.pop(); return s })).To(Equal(1001))
}

func popsUntil(pop func() string) int {
	for i := 1; ; i++ {
		if pop() == "quiet" {
			return i
		}
	}
}

func TestFairRemove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFairQueue[int](noLimit)
		var tickets []*Waiter[int]
		gone := make(map[int]bool)
		for i := range 30 {
			ticket, _ := f.Push(ident.Account(fmt.Sprint(i%3)), 1+i%3, i, time.Unix(0, 0))
			tickets = append(tickets, ticket)
		}
		for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, 29), rapid.ID[int]).Draw(t, "removed") {
			gone[i] = f.Remove(tickets[i])
		}
		for f.Len() > 0 {
			i, _ := f.Pop(time.Unix(0, 0))
			if gone[i] || f.Remove(tickets[i]) {
				t.Fatalf("%d was served and removed", i)
			}
			gone[i] = true
		}
		if len(gone) != 30 {
			t.Fatalf("%d of 30 left the queue", len(gone))
		}
	})
}

func BenchmarkFair(b *testing.B) {
	f := NewFairQueue[int](noLimit)
	now := time.Unix(0, 0)
	accounts := []ident.Account{"a", "b", "c", "d", "e", "f", "g", "h"}
	for i := range 64 {
		f.Push(accounts[i%8], 1+i%3, i, now)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.Push(accounts[i%8], 1+i%3, i, now)
		f.Pop(now)
	}
}
