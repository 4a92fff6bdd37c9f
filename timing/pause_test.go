package timing

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestPauseWatchNoticesAPauseBeforeItsNextTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var paused atomic.Int64
		watch := NewPauseWatch(func() time.Time { return time.Now().Add(time.Duration(paused.Load())) })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		paused.Add(int64(time.Minute))
		if resumed, _ := watch.Latest(); !resumed.IsZero() {
			t.Errorf("a pause until %v before the watch runs", resumed)
		}
		go watch.Run(ctx)
		time.Sleep(time.Minute)
		if resumed, length := watch.Latest(); !resumed.IsZero() || length != 0 {
			t.Errorf("a pause of %v until %v without one", length, resumed)
		}
		paused.Add(int64(7 * time.Second))
		if _, length := watch.Latest(); length < 7*time.Second || length > 7*time.Second+pauseTick {
			t.Errorf("a pause of %v, want 7 s", length)
		}
	})
}
