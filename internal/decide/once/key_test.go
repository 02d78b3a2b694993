package once

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestKeyRoundTrip checks that an issued key is parsed back from its text, and that
// a text with one changed character is not accepted as an issued key.
func TestKeyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := Home{
			Zone:        rapid.StringMatching(`[a-z0-9-]{1,24}`).Draw(t, "zone"),
			ID:          rapid.StringMatching(`[a-z0-9.:-]{1,36}`).Draw(t, "id"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		}
		expiry := time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(t, "expiry"))
		k, err := NewKey(home, expiry, rapid.Uint64().Draw(t, "random"))
		require.NoError(t, err)
		text := k.String()
		require.LessOrEqual(t, len(text), MaxKeyLen)
		require.Nil(t, CheckKey(text))
		got, err := ParseKey(text)
		require.NoError(t, err)
		require.Equal(t, k, got)

		i := rapid.IntRange(len(keyPrefix), len(text)-1).Draw(t, "damaged")
		other := byte('A')
		if text[i] == other {
			other = 'B'
		}
		_, err = ParseKey(text[:i] + string(other) + text[i+1:])
		require.ErrorIs(t, err, ErrNotIssued)
	})
}

func TestKeyLimits(t *testing.T) {
	_, err := NewKey(Home{Zone: strings.Repeat("z", 30), ID: strings.Repeat("i", 31)}, time.UnixMilli(0), 0)
	require.ErrorContains(t, err, "shorten")
	_, err = NewKey(Home{Zone: "z"}, time.UnixMilli(0), 0)
	require.ErrorContains(t, err, "settings")
	for _, bad := range []string{"", "a b", "a\n", "é", strings.Repeat("x", MaxKeyLen+1)} {
		require.NotNil(t, CheckKey(bad), "%q", bad)
	}
}

func FuzzParseKey(f *testing.F) {
	k, err := NewKey(Home{"bud-a", "entry-1", 7}, time.UnixMilli(1700000000000), 42)
	require.NoError(f, err)
	text := k.String()
	for _, s := range []string{"", text, text + "A", text[:len(text)-1], keyPrefix, "order-17", strings.Repeat(keyPrefix, 40)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			require.ErrorIs(t, err, ErrNotIssued)
			return
		}
		require.Equal(t, s, k.String())
		require.Nil(t, CheckKey(s))
	})
}
