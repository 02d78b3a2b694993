package emulator

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// short is a day with one of each trouble.
var short = Day{Length: 8 * time.Second, Troubles: []Trouble{
	{Kind: Burst, At: time.Second, For: 2 * time.Second, Factor: 1.5, Zone: AnyZone},
	{Kind: Shift, At: 2 * time.Second, For: 2 * time.Second, Share: 0.5},
	{Kind: Evacuate, At: time.Second, For: 3 * time.Second},
	{Kind: Crash, At: 2 * time.Second, For: time.Second, Share: 0.2},
	{Kind: Slow, At: 3 * time.Second, For: 2 * time.Second, Share: 0.2, Factor: 4},
	{Kind: Shed, At: 4 * time.Second, For: 2 * time.Second, Share: 0.2, Factor: 0.5},
	{Kind: Replace, At: 4 * time.Second, For: 2 * time.Second, Share: 0.2},
	{Kind: Restart, At: 6 * time.Second},
}}

// TestSameSeedSameScore: a play depends on nothing but its seed.
func TestSameSeedSameScore(t *testing.T) {
	for _, p := range Policies {
		first := Play(Deployments[0], short, p.New, 7)
		require.Equal(t, first, Play(Deployments[0], short, p.New, 7), p.Name)
		require.NotEqual(t, first, Play(Deployments[0], short, p.New, 8), p.Name)
	}
}

// TestEveryRequestEnds: what is owed is served, refused or failed.
func TestEveryRequestEnds(t *testing.T) {
	for _, p := range Policies {
		s := Play(Deployments[0], short, p.New, 3)
		require.InDelta(t, 1, s.Served+s.Refused+s.Failed, 1e-9, p.Name)
	}
}

// TestCrowdOnTheGrownDeployment: many instances that know only their own requests
// overload the backend servers with the plain baseline, not with the product.
func TestCrowdOnTheGrownDeployment(t *testing.T) {
	day := Day{Length: 8 * time.Second, Troubles: []Trouble{{Kind: Burst, At: 4 * time.Second, For: 2 * time.Second, Factor: 1.8}}}
	grown := Deployments[len(Deployments)-1]
	require.Greater(t, Play(grown, day, newMachine, 1).Worth(), Play(grown, day, newBaseline, 1).Worth())
}

// TestCrowdKeepsTheWorstKind: in a crowd, with as many backend servers as callers
// in each region, the worst kind of request does better than with the baseline.
func TestCrowdKeepsTheWorstKind(t *testing.T) {
	day := Day{Length: 16 * time.Second, Troubles: []Trouble{{Kind: Burst, At: 6 * time.Second, For: 5 * time.Second, Factor: 1.8}}}
	for seed := range uint64(2) {
		require.Greater(t, Play(evenRegions(), day, newMachine, seed).Kind, Play(evenRegions(), day, newBaseline, seed).Kind, seed)
	}
}

// TestRestartKeepsPlaces: a restart of all instances costs little, since the
// places of objects outlive it.
func TestRestartKeepsPlaces(t *testing.T) {
	calm := Day{Length: 20 * time.Second}
	restart := Day{Length: 20 * time.Second, Troubles: []Trouble{{Kind: Restart, At: 12 * time.Second}}}
	without, with := Play(evenRegions(), calm, newMachine, 1), Play(evenRegions(), restart, newMachine, 1)
	require.InDelta(t, without.Whole, with.Whole, 0.02)
}

func TestPrint(t *testing.T) {
	var out bytes.Buffer
	row := Row{Deployment: "here", Day: "calm", Scores: make([]Score, len(Policies))}
	row.Scores[0].Whole = 0.5
	require.NoError(t, Print(&out, []Row{row}))
	require.Contains(t, out.String(), "| deployment | day | baseline | banyandeal | all-knowing |\n")
	require.Contains(t, out.String(), "| here | calm | 0.140 | 0.000 | 0.000 |\n")
	_, err := Compare(Selection{Days: []string{"none"}})
	require.ErrorContains(t, err, "see --help")
}
