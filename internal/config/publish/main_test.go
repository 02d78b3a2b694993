package publish

import (
	"testing"

	"github.com/banyandeal/banyandeal/internal/decide/decidetest"
)

func TestMain(m *testing.M) { decidetest.Main(m) }
