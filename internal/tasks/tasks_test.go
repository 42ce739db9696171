package tasks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marjoramrudder/marjoramrudder/internal/tasks"
)

func TestCloseWaitsForAllGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := tasks.New(context.Background())
		ended := false
		group.Go(func(ctx context.Context) error {
			<-ctx.Done()
			time.Sleep(time.Second)
			ended = true
			return nil
		})
		g.Expect(group.Close()).To(Succeed())
		g.Expect(ended).To(BeTrue())
	})
}

func TestPauseEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		g.Expect(tasks.Pause(ctx, 500*time.Millisecond)).To(BeTrue())
		g.Expect(tasks.Pause(ctx, time.Hour)).To(BeFalse())
		g.Expect(time.Since(start)).To(Equal(time.Second))
		g.Expect(tasks.PauseUntil(ctx, start)).To(BeFalse())
	})
}
