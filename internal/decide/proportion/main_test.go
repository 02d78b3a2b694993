package proportion

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests the same cases in each run, unless a seed
// is asked for with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
