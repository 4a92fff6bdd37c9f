package session

import (
	"testing"

	"amaranthpaddle/rapidtest"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { rapidtest.Main(m) }
