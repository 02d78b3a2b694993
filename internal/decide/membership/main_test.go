package membership

import (
	"os"
	"testing"

	"github.com/banyandeal/banyandeal/internal/decide/decidetest"
)

func TestMain(m *testing.M) {
	decidetest.FixSeed()
	os.Exit(m.Run())
}
