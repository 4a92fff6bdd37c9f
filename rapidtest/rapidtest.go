// Package rapidtest fixes the seed of rapid's property tests, so that each run
// of a package's tests gives the same verdict. It is for tests only.
package rapidtest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // has the flag
)

const (
	seedFlag = "rapid.seed"
	seed     = "1" // unless the command line gives another; 0 draws one at random
)

// Main is the body of a package's TestMain. It does not return.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == seedFlag })
	if !given {
		if err := flag.Set(seedFlag, seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
