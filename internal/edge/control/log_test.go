package control

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestEvacuationLineTellsWhy guards against an evacuation that ends without a line, or with
// one that does not tell from what.
func TestEvacuationLineTellsWhy(t *testing.T) {
	var out bytes.Buffer
	c := New(nil, time.Now, zerolog.New(&out))
	ctx, cancel := context.WithCancel(context.Background())
	origin := Origin{Source: "reader", Era: 2, Version: 7, StoreReadAt: time.Now(), Arrived: time.Now()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	applied := func(on bool) func() bool { return func() bool { return c.View().Evacuated["z"] == on } }
	c.Push(ctx, Update{Kind: KindOperator, Evacuated: map[string]bool{"z": true}, Origin: origin})
	require.Eventually(t, applied(true), time.Second, time.Millisecond)
	c.Push(ctx, Update{Kind: KindOperator, Full: true, Origin: origin})
	require.Eventually(t, applied(false), time.Second, time.Millisecond)
	cancel()
	<-ended
	require.Contains(t, out.String(), `"event":"evacuation","zone":"z","on":true,"cause":"row","source":"reader","era":2,"version":7`)
	require.Contains(t, out.String(), `"event":"evacuation","zone":"z","on":false,"cause":"whole_read","source":"reader"`)
}
