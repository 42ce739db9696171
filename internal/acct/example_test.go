package acct_test

import (
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/acct"
)

func ExampleFairQueue() {
	queue := acct.NewFairQueue[string](acct.FairQueueLimits{MaxWait: time.Second})
	now := time.Unix(0, 0)
	for _, item := range []string{"pallets 1", "pallets 2", "pallets 3"} {
		queue.Push("supermarket", 1, item, now)
	}
	queue.Push("butcher", 1, "price", now)
	for queue.Len() > 0 {
		item, _ := queue.Pop(now)
		fmt.Println(item)
	}
	// Output:
	// pallets 1
	// price
	// pallets 2
	// pallets 3
}
