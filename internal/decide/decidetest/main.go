package decidetest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package and exits with their result; TestMain calls
// it. Property tests draw the same cases in every run unless -rapid.seed is set,
// and write no files that record failing cases.
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
