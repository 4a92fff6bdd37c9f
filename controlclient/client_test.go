package controlclient

import (
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

// Load pattern: the leader's VM is lost, and calls go to one replica after the other.
// Guards against a call that is sent to the silent VM again, where it waits for 1 s, while
// other replicas answer.
func TestSilentReplicaIsNotTriedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(&transport.Security{}, []string{"a", "b", "c"})
		silent := fault.New(fault.DeadlineUnknown, "no answer")
		c.Note("a", nil, nil)
		c.Note("a", nil, silent)
		targets := func(answer bool) map[string]int {
			count := map[string]int{}
			for range 6 {
				address := c.Target()
				count[address]++
				if answer && address != "a" {
					c.Note(address, nil, fault.New(fault.NotLeader, "another one leads"))
				}
			}
			return count
		}
		if count := targets(true); count["a"] != 0 || count["b"] != 3 || count["c"] != 3 {
			t.Errorf("targets %v, want the two others in turn", count)
		}
		time.Sleep(silentPause)
		if count := targets(true); count["a"] != 2 {
			t.Errorf("targets %v after %v, want all in turn", count, silentPause)
		}
		for _, address := range c.Addresses() {
			c.Note(address, nil, silent)
		}
		if count := targets(false); count["a"] != 2 {
			t.Errorf("targets %v while all are silent, want all in turn", count)
		}
	})
}
