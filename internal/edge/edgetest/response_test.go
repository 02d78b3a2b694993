package edgetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestResponseWithoutLength guards against a response that was reset on its way and looks
// complete to the caller (rule MIXED), and against losing one that ends as it should.
func TestResponseWithoutLength(t *testing.T) {
	t.Parallel()
	e, i, backends := startShop(t)
	for _, b := range backends {
		b.SetAct(always(EndAnswer))
	}
	r := e.Do(i, CallerRequest{Path: "/read/x"})
	require.NoError(t, r.Err)
	require.Equal(t, http.StatusOK, r.Status)
	require.Equal(t, "answer to "+r.ID, r.Body)
	for _, b := range backends {
		b.SetAct(always(ResetAnswer))
	}
	for _, c := range []CallerRequest{{Path: "/read/x"}, {Method: http.MethodPost, Path: "/write/x", Body: "b"}} {
		r := e.Do(i, c)
		require.True(t, r.Err != nil || r.Status == http.StatusBadGateway, "%d %q", r.Status, r.Body)
	}
}

// TestEarlyResponseKeepsBodyWhole guards against other bytes where the rest of a body is due
// that its backend server reads on after it has answered (rule UNASKED).
func TestEarlyResponseKeepsBodyWhole(t *testing.T) {
	t.Parallel()
	const requests, half = 20, 200 << 10
	e := New(t)
	e.Configure(Route{Prefix: "/read/", Kind: "safe", Service: "shop"}, Route{Prefix: "/write/", Kind: "unsafe", Service: "shop"})
	b := e.Backend(Start{Name: "i-1", Zone: "a1", Service: "shop", AnswersEarly: true})
	i := e.Instance("one", "a1")
	require.Eventually(t, func() bool { return e.Do(i, CallerRequest{Path: "/read/warm"}).Status == 200 }, 3*time.Second, 10*time.Millisecond)
	sent := map[string]string{}
	for n := range requests {
		id, body := e.NewID(), strings.Repeat(string(rune('a'+n)), 2*half)
		sent[id] = body
		r := e.sendInHalves(t, i, CallerRequest{Method: http.MethodPost, Path: "/write/x", Body: body}, id)
		require.NoError(t, r.Err)
		require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, r.Status)
		e.Do(i, CallerRequest{Method: http.MethodPost, Path: "/write/x", Body: fmt.Sprint("short ", n)})
	}
	whole := 0
	for _, a := range b.Arrivals() {
		if body, ok := sent[a.ID]; ok {
			require.True(t, strings.HasPrefix(body, a.Body), "other bytes in the body of %s", a.ID)
			if len(a.Body) == len(body) {
				whole++
			}
		}
	}
	t.Logf("%d of %d bodies were read whole", whole, requests)
}

// sendInHalves sends a request whose body comes in two halves with a pause between them.
func (e *Environment) sendInHalves(t *testing.T, i *Instance, c CallerRequest, id string) CallerResponse {
	nc, err := net.Dial("tcp", i.Settings.Listen.Callers)
	require.NoError(t, err)
	defer nc.Close()
	encoded := c.Encode(id)
	middle := len(encoded) - len(c.Body)/2
	_, err = io.WriteString(nc, encoded[:middle])
	require.NoError(t, err)
	time.Sleep(30 * time.Millisecond)
	go func() { _, _ = io.WriteString(nc, encoded[middle:]) }()
	return ReadCallerResponse(bufio.NewReader(nc))
}
