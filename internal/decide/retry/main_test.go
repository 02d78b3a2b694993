package retry

import (
	"flag"
	"testing"

	"github.com/banyandeal/banyandeal/internal/decide/decidetest"
)

func TestMain(m *testing.M) {
	// The command line is read later and can ask for another number.
	_ = flag.Set("rapid.checks", "2000")
	decidetest.Main(m)
}
