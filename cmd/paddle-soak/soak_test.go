package main

import (
	"testing"
	"time"
)

// A short run of the real programs. What it checks holds whatever the machine's
// speed; longer runs are made by hand.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	violations, err := soak(7, 5*time.Second, t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range violations {
		t.Error(violation)
	}
}
