package retry

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the properties the same inputs in each run; the command line
// can ask for others.
func TestMain(m *testing.M) {
	flag.Parse()
	asked := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { asked[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if !asked[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
