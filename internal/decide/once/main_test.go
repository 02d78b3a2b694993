package once

import (
	"flag"
	"testing"

	"github.com/banyandeal/banyandeal/internal/decide/decidetest"
)

func TestMain(m *testing.M) {
	// Flags are parsed later, so the command line overrides this default.
	_ = flag.Set("rapid.checks", "2000")
	decidetest.Main(m)
}
