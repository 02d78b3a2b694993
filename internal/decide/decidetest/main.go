package decidetest

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests. It gives the property tests the same cases in
// each run, unless a seed is asked for with -rapid.seed, and has them write no
// files.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
