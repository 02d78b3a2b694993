package static_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config/static"
)

const valid = `
id: a
zone: budapest-a
listen: {caller: "127.0.0.1:1", peer: "127.0.0.1:2", operator: "127.0.0.1:3"}
platform: {endpoints: ["http://127.0.0.1:4"]}
`

func decode(t *testing.T, doc string) static.Settings {
	s := static.Default()
	require.NoError(t, static.Decode([]byte(doc), &s))
	return s
}

// Settings that a document omits must get their defaults, and an advertised
// address must default to the listening address.
func TestValidSettings(t *testing.T) {
	s := decode(t, valid+"timing: {tick: 50ms}\n")
	require.NoError(t, s.Validate())
	require.Equal(t, "127.0.0.1:2", s.Advertise.Peer)
	require.Equal(t, static.DefaultHeartbeatInterval, s.Timing.HeartbeatInterval)
}

// Every fault that Validate reports must name the setting and its remedy.
func TestFaultsNameFieldAndRemedy(t *testing.T) {
	for doc, want := range map[string]string{
		valid + "policy: quick":             `policy: "quick" is not a policy; use steered`,
		"":                                  "id: is empty; set it to the instance's id",
		valid + "log: {level: loud}":        `log.level: "loud" is not a log level; use debug`,
		valid + "limits: {body_memory: 0}":  "limits.body_memory: 0 is not positive",
		valid + "neighbours: [a.example:1]": `"a.example:1" is not an IP:port pair; use the peer address`,
		valid + "timing: {heartbeat: -1s}":  "timing.heartbeat: -1s is not positive; use a duration",
	} {
		s := decode(t, doc)
		require.ErrorContains(t, s.Validate(), want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("id: [\n"))
	f.Add([]byte("unknown: 1\n"))
	f.Add([]byte("id: a\nid: b\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := static.Default()
		if static.Decode(data, &s) == nil {
			_ = s.Validate()
		}
	})
}
