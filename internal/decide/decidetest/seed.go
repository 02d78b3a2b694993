// Package decidetest fixes what random tests of decision packages draw.
package decidetest

import "flag"

const (
	// seed is where the random tests start unless -rapid.seed says otherwise.
	seed = "20261203"
	// checks is how many cases they draw unless -rapid.checks says otherwise.
	checks        = "200"
	defaultChecks = "100"
)

// FixSeed makes random tests draw the same cases in every run, so that CI gives
// the same verdict every time. It is called first in TestMain.
func FixSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		setFlag("rapid.seed", seed)
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == defaultChecks {
		setFlag("rapid.checks", checks)
	}
	if flag.Lookup("rapid.nofailfile") != nil {
		setFlag("rapid.nofailfile", "true")
	}
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
