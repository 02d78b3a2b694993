// Package decidetest makes the property tests of the decision packages
// reproducible.
package decidetest

import "flag"

const (
	// defaultSeed is the random seed of property tests unless -rapid.seed is set.
	defaultSeed = "20261203"
	// caseCount is the number of cases per property test unless -rapid.checks is
	// set.
	caseCount = "200"
	// rapidDefaultChecks is the default value of the -rapid.checks flag.
	rapidDefaultChecks = "100"
)

// FixSeed makes property tests draw the same cases in every run, so that CI
// results are reproducible. Explicit -rapid.seed and -rapid.checks flags take
// precedence. TestMain calls FixSeed before it runs the tests.
func FixSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		setFlag("rapid.seed", defaultSeed)
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == rapidDefaultChecks {
		setFlag("rapid.checks", caseCount)
	}
	if flag.Lookup("rapid.nofailfile") != nil {
		setFlag("rapid.nofailfile", "true")
	}
}

// setFlag sets a flag that must exist.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
