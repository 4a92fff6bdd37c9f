package timing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		if !Sleep(ctx, 2*time.Second) || time.Since(began) != 2*time.Second {
			t.Errorf("an open context's sleep ended after %v", time.Since(began))
		}
		if Sleep(ctx, 2*time.Second) || time.Since(began) != 3*time.Second {
			t.Errorf("a context of 3s ended the sleep after %v", time.Since(began))
		}
	})
}

func TestJitterStaysWithinItsFraction(t *testing.T) {
	for range 1000 {
		if d := Jitter(time.Second, 0.2); d < 800*time.Millisecond || d > 1200*time.Millisecond {
			t.Fatalf("jitter of 20%% of a second gave %v", d)
		}
	}
}

func TestBackoffDoublesToItsLimitAndStartsAgain(t *testing.T) {
	b := NewBackoff(50*time.Millisecond, 150*time.Millisecond)
	for _, pause := range []time.Duration{50, 100, 150, 150} {
		pause *= time.Millisecond
		if d := b.Next(); d < pause/2 || d > pause {
			t.Errorf("pause %v, want half of %v to the whole", d, pause)
		}
	}
	b.Reset()
	if d := b.Next(); d > 50*time.Millisecond {
		t.Errorf("after the reset, pause %v", d)
	}
}
