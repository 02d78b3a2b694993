package retry

import (
	"flag"
	"testing"

	"github.com/banyandeal/banyandeal/internal/decide/decidetest"
)

func TestMain(m *testing.M) {
	// decidetest.Main parses the command line afterwards, so that a -rapid.checks
	// flag overrides this default.
	_ = flag.Set("rapid.checks", "2000")
	decidetest.Main(m)
}
