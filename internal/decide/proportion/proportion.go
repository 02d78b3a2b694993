// Package proportion divides integer amounts proportionally. The parts add up to
// the whole, and the results are the same on every processor, as no floating
// point is used.
package proportion

import (
	"math/bits"
	"slices"
)

// MulDiv returns a*b/c rounded down, with a 128-bit intermediate product. It
// requires a, b >= 0, c > 0, and that the result fits into T.
func MulDiv[T ~int64](a, b, c T) T {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi == 0 {
		return T(lo / uint64(c))
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return T(q)
}

// Sum returns the sum of the values.
func Sum[T ~int64](v []T) T {
	var s T
	for _, x := range v {
		s += x
	}
	return s
}

// Divide divides total into parts proportional to weights, each at most its
// limit. What exceeds a limit is distributed over the other parts. The parts add
// up to total or to the sum of limits, whichever is less. A part with weight 0
// gets only what the others cannot take.
func Divide[T ~int64](total T, weights, limits []T) []T {
	parts := make([]T, len(weights))
	weights = slices.Clone(weights)
	total = min(total, Sum(limits))
	remaining := total
	for remaining > 0 {
		weightSum, limitReached := Sum(weights), false
		if weightSum == 0 {
			break
		}
		for i, w := range weights {
			if w > 0 && MulDiv(remaining, w, weightSum) >= limits[i] {
				parts[i], weights[i], limitReached = limits[i], 0, true
			}
		}
		remaining = total - Sum(parts)
		if limitReached {
			continue
		}
		for i, w := range weights {
			parts[i] += MulDiv(remaining, w, weightSum)
		}
		break
	}
	return distributeRemainder(total, parts, limits)
}

// distributeRemainder distributes what rounding has left of total to the parts
// below their limit, in order.
func distributeRemainder[T ~int64](total T, parts, limits []T) []T {
	remaining := total - Sum(parts)
	for i := range parts {
		added := min(remaining, limits[i]-parts[i])
		parts[i] += added
		remaining -= added
	}
	return parts
}

// Table returns a matrix with the row sums rows and the column sums cols. Each
// element differs from rows[i]*cols[j]/total only by rounding. rows and cols must
// have the same total.
func Table[T ~int64](rows, cols []T) [][]T {
	total := max(Sum(rows), 1)
	m := make([][]T, len(rows))
	remaining := slices.Clone(cols)
	for i := range rows {
		m[i] = make([]T, len(cols))
		for j := range cols {
			m[i][j] = MulDiv(rows[i], cols[j], total)
			remaining[j] -= m[i][j]
		}
	}
	for i := range rows {
		missing := rows[i] - Sum(m[i])
		for j := range cols {
			added := min(missing, remaining[j])
			m[i][j] += added
			remaining[j] -= added
			missing -= added
		}
	}
	return m
}
