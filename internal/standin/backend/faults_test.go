package backend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// open starts a backend server on loopback and returns its base URL with a
// client that keeps one connection.
func open(t *testing.T, cfg Config) (*Server, string, *http.Client) {
	t.Helper()
	cfg.Name, cfg.Address, cfg.Slots = "b1", "127.0.0.1:0", 4
	s := New(cfg, nil, nil)
	require.NoError(t, s.Open())
	t.Cleanup(s.Close)
	return s, "http://" + s.Addr(), newClient(t)
}

func newClient(t *testing.T) *http.Client {
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

func post(ctx context.Context, c *http.Client, url string, size int64) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return Answer{}, err
	}
	res, err := c.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	return ReadAnswer(res.Body, size)
}

func TestSilentConnections(t *testing.T) {
	s, url, old := open(t, Config{})
	_, err := post(t.Context(), old, url+"/a", 0)
	require.NoError(t, err)
	require.NoError(t, s.SetFaults(Faults{Silent: true}))

	ctx, cancel := context.WithCancel(t.Context())
	unanswered := make(chan error)
	go func() {
		_, err := post(ctx, old, url+"/b", 0)
		unanswered <- err
	}()
	for range 3 {
		_, err = post(t.Context(), newClient(t), url+"/c", 0)
		require.NoError(t, err, "new connections work")
	}
	select {
	case err := <-unanswered:
		t.Fatalf("the silent connection answered or closed: %v", err)
	default:
	}
	cancel()
	require.ErrorIs(t, <-unanswered, context.Canceled)
	for _, run := range s.Runs() {
		require.NotEqual(t, "/b", run.URL)
	}
}

func TestCutAndStreamedAnswers(t *testing.T) {
	const size = 200 << 10
	s, url, c := open(t, Config{})
	for _, n := range []string{"", "204800"} {
		require.NoError(t, s.SetFaults(Faults{Cut: 1}))
		_, err := post(t.Context(), c, url+"/a?size="+n, 0)
		require.Error(t, err, "a cut answer must not read as whole")
	}
	_, err := post(t.Context(), c, url+"/a?size=204800", size)
	require.NoError(t, err)
	require.Len(t, s.Runs(), 3)
}

func TestDroppedRequests(t *testing.T) {
	s, url, c := open(t, Config{})
	require.NoError(t, s.SetFaults(Faults{DropBefore: 1}))
	_, err := post(t.Context(), c, url+"/a", 0)
	require.Error(t, err)
	require.Empty(t, s.Runs())
	require.NoError(t, s.SetFaults(Faults{DropAfter: 1}))
	_, err = post(t.Context(), c, url+"/a", 0)
	require.Error(t, err)
	require.Len(t, s.Runs(), 1)
}

func TestCrashCutsEverything(t *testing.T) {
	s, url, c := open(t, Config{CrashPath: "poison"})
	_, err := post(t.Context(), c, url+"/poison", 0)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, RunCrashed, s.Runs()[0].State)
	_, err = post(t.Context(), c, url+"/a", 0)
	require.ErrorContains(t, err, "connect", "refused until it is opened again")
	require.NoError(t, s.SetFaults(Faults{}))
	_, err = post(t.Context(), c, url+"/a", 0)
	require.NoError(t, err)
}

func TestReadGroup(t *testing.T) {
	g, err := ReadGroup(strings.NewReader("backends:\n- {name: b1, address: '127.0.0.1:0', slots: 3, mean: 20ms}\n"))
	require.NoError(t, err)
	require.Equal(t, 20*time.Millisecond, g.Backends[0].Mean)
	for _, bad := range []string{
		"backends:\n- {name: b1, slots: 3, slot: 1}\n",
		"backends:\n- {name: b1, slots: 3}\n- {name: b1, slots: 3}\n",
	} {
		_, err := ReadGroup(strings.NewReader(bad))
		require.Error(t, err)
	}
}
