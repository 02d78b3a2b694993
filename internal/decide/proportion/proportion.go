// Package proportion splits whole amounts in proportion, without loss and with
// the same result on every processor.
package proportion

import (
	"math/bits"
	"slices"
)

// MulDiv returns a*b/c rounded down, for a, b >= 0 and c > 0 where the result
// fits.
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

// Divide splits total in proportion to weights, clipped by limits; what a full
// part can't take goes to the others. The parts add up to total or, if that is
// less, to the limits. Parts without weight only take what the others can't.
func Divide[T ~int64](total T, weights, limits []T) []T {
	parts := make([]T, len(weights))
	weights = slices.Clone(weights)
	total = min(total, Sum(limits))
	left := total
	for left > 0 {
		all, full := Sum(weights), false
		if all == 0 {
			break
		}
		for i, w := range weights {
			if w > 0 && MulDiv(left, w, all) >= limits[i] {
				parts[i], weights[i], full = limits[i], 0, true
			}
		}
		left = total - Sum(parts)
		if full {
			continue
		}
		for i, w := range weights {
			parts[i] += MulDiv(left, w, all)
		}
		break
	}
	return settle(total, parts, limits)
}

// settle gives what rounding has left of total to parts that have room, in
// order.
func settle[T ~int64](total T, parts, limits []T) []T {
	left := total - Sum(parts)
	for i := range parts {
		more := min(left, limits[i]-parts[i])
		parts[i] += more
		left -= more
	}
	return parts
}

// Matrix returns a matrix whose rows add up to rows and whose columns add up to
// cols, each value within rounding of rows[i]*cols[j]/total. Both add up to the
// same total.
func Matrix[T ~int64](rows, cols []T) [][]T {
	total := max(Sum(rows), 1)
	m := make([][]T, len(rows))
	left := slices.Clone(cols)
	for i := range rows {
		m[i] = make([]T, len(cols))
		for j := range cols {
			m[i][j] = MulDiv(rows[i], cols[j], total)
			left[j] -= m[i][j]
		}
	}
	for i := range rows {
		need := rows[i] - Sum(m[i])
		for j := range cols {
			more := min(need, left[j])
			m[i][j] += more
			left[j] -= more
			need -= more
		}
	}
	return m
}
