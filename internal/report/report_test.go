package report

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/platform/journal"
)

// journalEntry is a journal entry with one standard day and one drawn day.
const journalEntry = `{"cmd":"score","at":["2026-01-02T03:04:05Z","2026-01-02T03:05:05Z"],"why":"a < b","head":"0123456789","site":"here",
"days":[{"G":0.5,"name":"calm","served":0.8,"refused":0.01,"failed":0.02,"by_class":[0.9,0.7,null],"prices":[["calls",12,0.01],["idle",0,0.0]]},
{"G":0.1,"name":"fresh-1","served":0.3,"by_class":[0.2,0.2],"prices":[]}]}`

// TestWritePage checks that the scores of a journal give a page with three
// plots for each site, and that other journal entries and drawn days are
// omitted.
func TestWritePage(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "1.json"), []byte(journalEntry), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "2.json"), []byte(`{"cmd":"hunt","at":["2026-01-02T03:04:05Z"]}`), 0o600))
	scores, err := journal.Scores(dir)
	require.NoError(t, err)
	require.Len(t, scores, 1)
	require.Equal(t, map[string]float64{"calls": 0.01}, scores[0].Days[0].Penalties)
	require.Equal(t, []float64{0.9, 0.7}, scores[0].Days[0].ServedByKind)
	var page bytes.Buffer
	require.NoError(t, Write(&page, scores))
	require.Equal(t, 3, bytes.Count(page.Bytes(), []byte("<svg")))
	require.Contains(t, page.String(), "<td>01234567</td><td>a &lt; b</td><td>0.500</td>")
	require.ErrorContains(t, Write(&page, nil), "run the bench")
}

// A malformed journal entry gives an error that names its file.
func TestScoresRejectsMalformedEntry(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "1.json"), []byte("no entry"), 0o600))
	_, err := journal.Scores(dir)
	require.ErrorContains(t, err, "1.json")
}
