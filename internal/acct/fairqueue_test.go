package acct

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

var unlimited = FairQueueLimits{MaxWait: time.Hour}

// fifo is a first-in, first-out queue for comparison with FairQueue.
type fifo[T any] struct{ items []T }

func (f *fifo[T]) push(item T) { f.items = append(f.items, item) }

func (f *fifo[T]) pop() (item T, ok bool) {
	if len(f.items) == 0 {
		return item, false
	}
	item, f.items = f.items[0], f.items[1:]
	return item, true
}

type queueItem struct {
	account ident.Account
	number  int
}

// With one account FairQueue serves in the order of arrival. With several it
// serves the same items, those of each account in order.
func TestFairQueueAgainstFIFO(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, n := NewFairQueue[queueItem](unlimited), &fifo[queueItem]{}
		accounts := rapid.IntRange(1, 4).Draw(t, "accounts")
		now := time.Unix(0, 0)
		var fair, plain []queueItem
		for i := range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			if rapid.Bool().Draw(t, "push") {
				a := rapid.IntRange(1, accounts).Draw(t, "account")
				w := queueItem{ident.Account(fmt.Sprint(a)), i}
				if waiter, _ := f.Push(w.account, a, w, now); waiter == nil {
					t.Fatal("item below the limits was refused")
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

// While several accounts wait, each is served in proportion to its weight:
// after any number of pops it lags by less than one round.
func TestFairQueueServesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFairQueue[int](unlimited)
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
					t.Fatalf("account %d of weight %d lags by %.2f after %d pops", j, w, behind, pops)
				}
			}
		}
	})
}

// An account that floods the queue is refused because of its own items, and
// delays a quiet account by at most one round. In a FIFO queue the quiet
// account waits for all of them.
func TestFairQueueUnderFlood(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	f, n := NewFairQueue[string](FairQueueLimits{MaxWait: 200 * time.Millisecond}), &fifo[string]{}
	refused := 0
	for range 1000 {
		if waiter, retry := f.Push("flood", 1, "flood", now); waiter == nil {
			g.Expect(retry).To(BeNumerically(">", 0))
			refused++
		}
		n.push("flood")
	}
	g.Expect(refused).To(BeNumerically(">", 900))
	waiter, _ := f.Push("quiet", 1, "quiet", now)
	g.Expect(waiter).NotTo(BeNil())
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

func TestFairQueueRemove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFairQueue[int](unlimited)
		var waiters []*Waiter[int]
		gone := make(map[int]bool)
		for i := range 30 {
			waiter, _ := f.Push(ident.Account(fmt.Sprint(i%3)), 1+i%3, i, time.Unix(0, 0))
			waiters = append(waiters, waiter)
		}
		for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, 29), rapid.ID[int]).Draw(t, "removed") {
			gone[i] = f.Remove(waiters[i])
		}
		for f.Len() > 0 {
			i, _ := f.Pop(time.Unix(0, 0))
			if gone[i] || f.Remove(waiters[i]) {
				t.Fatalf("item %d was both served and removed", i)
			}
			gone[i] = true
		}
		if len(gone) != 30 {
			t.Fatalf("%d of 30 items left the queue", len(gone))
		}
	})
}

func BenchmarkFairQueue(b *testing.B) {
	f := NewFairQueue[int](unlimited)
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
