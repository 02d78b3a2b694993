package proportion

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	require.Equal(t, []int64{30, 10}, Divide(40, []int64{3, 1}, []int64{50, 50}))
	require.Equal(t, []int64{50, 30}, Divide(80, []int64{3, 1}, []int64{50, 50}), "what exceeds a limit goes to the other parts")
	require.Equal(t, []int64{50, 50}, Divide(160, []int64{3, 1}, []int64{50, 50}), "no part exceeds its limit")
	require.Equal(t, int64(1)<<50, MulDiv(int64(1)<<50, int64(1)<<40, int64(1)<<40))
}

// TestTotalsArePreserved checks with random input that the parts of Divide add up
// to the total and stay within their limits, and that the row sums of Table hold.
func TestTotalsArePreserved(t *testing.T) {
	amount := rapid.Int64Range(0, 1<<40)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "n")
		limits := rapid.SliceOfN(amount, n, n).Draw(t, "limits")
		total := rapid.Int64Range(0, 1<<42).Draw(t, "total")
		parts := Divide(total, rapid.SliceOfN(amount, n, n).Draw(t, "weights"), limits)
		require.Equal(t, min(total, Sum(limits)), Sum(parts))
		for i := range parts {
			require.GreaterOrEqual(t, parts[i], int64(0))
			require.LessOrEqual(t, parts[i], limits[i])
		}
		cols := Divide(Sum(limits), parts, limits)
		m := Table(limits, cols)
		for i := range m {
			require.Equal(t, limits[i], Sum(m[i]))
		}
	})
}
