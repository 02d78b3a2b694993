package memory

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

const processBytes = 284 << 20

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestManyEndlessBodiesStayInBudget guards against a bound for each body whose sum grows with
// the number of callers, and against endless bodies that leave no room for those that end.
func TestManyEndlessBodiesStayInBudget(t *testing.T) {
	const step = 64 << 10
	for _, many := range []int{10, 30, 100, 300, 1000} {
		b := NewBudget(processBytes, nil)
		held := make([]int64, many)
		accounts := make([]*Account, many)
		for n := range accounts {
			accounts[n] = b.Account()
		}
		for range 12 {
			for n, a := range accounts {
				if size := max(step, 2*held[n]); a.Grow(size) == nil {
					a.Give(held[n])
					held[n] = size
				}
			}
		}
		require.LessOrEqual(t, b.Used(), b.limit, "%d bodies", many)
		require.NoError(t, b.Account().Take(4<<10), "a small body beside %d endless ones", many)
		if many <= 300 {
			known := b.Account()
			require.NoError(t, known.Take(4<<20), "a body of known length beside %d endless ones", many)
			known.Close()
		}
		for _, a := range accounts {
			a.Close()
		}
		require.LessOrEqual(t, b.Used(), int64(4<<10))
	}
}

// TestLargestBodyIsHeldOnce guards against a body that the limits allow and that does not fit, and
// against a second one that is let in beside it.
func TestLargestBodyIsHeldOnce(t *testing.T) {
	const largest = 64 << 20
	var refused []*Error
	for _, process := range []int64{184 << 20, processBytes} {
		b := NewBudget(process, func(err *Error) { refused = append(refused, err) })
		first, second := b.Account(), b.Account()
		require.NoError(t, first.Take(largest))
		var full *Error
		require.True(t, errors.As(second.Take(largest), &full))
		require.False(t, full.TooLarge)
		require.True(t, errors.As(second.Take(process), &full))
		require.True(t, full.TooLarge)
		require.NoError(t, second.Take(smallBytes))
		first.Close()
		require.NoError(t, second.Take(largest-smallBytes))
	}
	require.Len(t, refused, 4)
}

// TestClosedAccountTakesNothing guards against bytes that nobody gives back.
func TestClosedAccountTakesNothing(t *testing.T) {
	b := NewBudget(processBytes, nil)
	a := b.Account()
	require.NoError(t, a.Take(100))
	a.Give(200)
	require.Zero(t, b.Used())
	a.Close()
	require.Error(t, a.Take(1))
	require.Zero(t, b.Used())
	var none *Budget
	require.NoError(t, none.Account().Take(processBytes))
}

// TestReadAllReadsAnyLength guards against bodies that are read in part, whatever is known of
// their length.
func TestReadAllReadsAnyLength(t *testing.T) {
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, 1 << 20, 3 << 20} {
		for _, length := range []int64{-1, int64(size) / 2, int64(size)} {
			for _, wrap := range []func(io.Reader) io.Reader{iotest.DataErrReader, iotest.HalfReader} {
				b := NewBudget(processBytes, nil)
				a := b.Account()
				body, err := ReadAll(a, wrap(bytes.NewReader(make([]byte, size))), length, 3<<20)
				require.NoError(t, err)
				require.Len(t, body, size)
				require.EqualValues(t, cap(body), b.Used())
			}
		}
	}
	_, err := ReadAll(nil, endless{}, -1, 1000)
	require.Equal(t, ErrTooLong, err)
	b := NewBudget(processBytes, nil)
	_, err = ReadAll(b.Account(), endless{}, -1, processBytes)
	var full *Error
	require.True(t, errors.As(err, &full))
	require.LessOrEqual(t, b.Used(), b.large)
}

// TestBodyOfUnknownLengthFits guards against a body in chunks that is refused for good although
// the same body with a length fits, because it was copied as it grew.
func TestBodyOfUnknownLengthFits(t *testing.T) {
	for _, size := range []int{0, 1, firstBytes, firstBytes + 1, 40 << 20, 64 << 20} {
		b := NewBudget(processBytes, nil)
		a := b.Account()
		body, err := ReadBody(a, iotest.DataErrReader(io.LimitReader(endless{}, int64(size))), -1, 64<<20)
		require.NoError(t, err)
		require.Equal(t, size, body.Len())
		require.Len(t, body.Bytes(), size)
		require.LessOrEqual(t, b.Used(), int64(size+pieceBytes))
		a.Close()
		require.Zero(t, b.Used())
	}
}

// TestBodyInPiecesEndsTruly guards against a body that broke off and counts as whole, and against
// bytes that stay taken after an error.
func TestBodyInPiecesEndsTruly(t *testing.T) {
	for _, size := range []int{0, 10, firstBytes, 1 << 20} {
		for _, cause := range []error{io.ErrUnexpectedEOF, io.ErrClosedPipe} {
			b := NewBudget(processBytes, nil)
			_, err := ReadBody(b.Account(), io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(cause)), -1, 2<<20)
			require.Equal(t, cause, err)
			require.Zero(t, b.Used())
		}
	}
	b := NewBudget(processBytes, nil)
	_, err := ReadBody(b.Account(), endless{}, -1, 3<<20)
	require.Equal(t, ErrTooLong, err)
	require.Zero(t, b.Used())
	// What an idle instance cannot hold is too large for good, what others hold is not.
	var full *Error
	_, err = ReadBody(b.Account(), endless{}, -1, processBytes)
	require.True(t, errors.As(err, &full) && full.TooLarge)
	other := b.Account()
	require.NoError(t, other.Take(b.large-1<<20))
	_, err = ReadBody(b.Account(), endless{}, -1, 64<<20)
	require.True(t, errors.As(err, &full) && !full.TooLarge)
}
