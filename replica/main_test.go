package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the number and the seed of the generated schedules, unless the
// command line gives others.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv(childEnvironment) != "" {
		runChild()
		return
	}
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.checks": "600", "rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.shrinktime": "5s",
	} {
		if !given[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
