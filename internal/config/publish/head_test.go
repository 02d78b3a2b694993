package publish

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config"
)

// A head whose digests are malformed must be rejected, since no object can be
// fetched by them.
func TestMalformedHeadIsRejected(t *testing.T) {
	d := config.DigestOf([]byte("a"))
	for _, tc := range []struct {
		name string
		head Head
		ok   bool
	}{
		{"whole", Head{Version: 1, Root: d, Manifest: d, Delta: d}, true},
		{"first version", Head{Version: 1, Root: d, Manifest: d}, true},
		{"no version", Head{Root: d, Manifest: d}, false},
		{"short root", Head{Version: 1, Root: "r", Manifest: d}, false},
		{"short manifest", Head{Version: 1, Root: d, Manifest: "m"}, false},
		{"short delta", Head{Version: 1, Root: d, Manifest: d, Delta: "x"}, false},
		{"upper case", Head{Version: 1, Root: d, Manifest: "ABCDEF" + d[6:]}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data, err := tc.head.Encode()
			require.NoError(t, err)
			_, err = DecodeHead(data)
			require.Equal(t, tc.ok, err == nil)
		})
	}
}
