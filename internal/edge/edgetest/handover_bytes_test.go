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

// TestAnyBytesAreHandedOver guards against a request whose header, cookie or target has a byte
// beyond ASCII, and that cannot be handed over: it ended the sessions between instances, and with
// them the requests of all other callers of an instance that reaches no backend server.
func TestAnyBytesAreHandedOver(t *testing.T) {
	t.Parallel()
	const requests = 30
	f := startFleet(t, 6, Start{Slots: 8, Work: 20 * time.Millisecond}, "a1", "a2", "b1")
	f.isolate(t, 0)
	cut := f.instance(0)
	every := strings.Builder{}
	for c := 0x80; c <= 0xff; c++ {
		every.WriteByte(byte(c))
	}
	for name, add := range map[string]func(text string) string{
		"ASCII": func(text string) string { return text },
		"header": func(text string) string {
			return strings.Replace(text, "\r\n", "\r\nX-Office: P\xe9cs "+every.String()+"\r\n", 1)
		},
		"cookie": func(text string) string { return strings.Replace(text, "Key=", "Key=\xff\xfe", 1) },
		"target": func(text string) string { return strings.Replace(text, "/x ", "/x?q=\xe9 ", 1) },
	} {
		served := 0
		for n := range requests {
			nc, err := net.Dial("tcp", cut.Settings.Listen.Callers)
			require.NoError(t, err)
			id := f.NewID()
			_, err = io.WriteString(nc, add(CallerRequest{Path: "/read/x", Object: fmt.Sprint(n), DeadlineMs: 2000}.Encode(id)))
			require.NoError(t, err)
			r := ReadCallerResponse(bufio.NewReader(nc))
			_ = nc.Close()
			if r.Status == http.StatusOK && r.Body == "answer to "+id {
				served++
			}
		}
		t.Logf("%s: %d of %d served", name, served, requests)
		require.Equal(t, requests, served, name)
	}
	require.GreaterOrEqual(t, cut.counter("handovers_replied_total"), 4*requests)
}
