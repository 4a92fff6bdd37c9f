package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of generated tests, so that each run gives the same
// verdict. Another seed can be given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
