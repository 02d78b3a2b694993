package platform

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestJudge(t *testing.T) {
	txn := Txn{ID: "mine", Writes: []Write{{Row: "a", Expect: 4}, {Row: "b", Expect: 7}}}
	row := func(name string, version uint64, id string) Row {
		return Row{Name: name, Version: version, ChangeID: id}
	}
	claim := Txn{ID: "mine", Writes: []Write{{Row: "a", Expect: 4}, {Row: "b", Expect: 0}}}
	for _, tc := range []struct {
		name string
		txn  Txn
		rows []Row
		want verdict
	}{
		{"own change id", txn, []Row{row("a", 5, "mine"), row("b", 8, "mine")}, wasWritten},
		{"own change id on one row", txn, []Row{row("a", 9, "other"), row("b", 8, "mine")}, wasWritten},
		{"another took the version", txn, []Row{row("a", 5, "other"), row("b", 9, "other")}, wasNotWritten},
		{"a row is still as expected", txn, []Row{row("b", 9, "other")}, wasNotWritten},
		{"all rows moved on", txn, []Row{row("a", 6, "other"), row("b", 9, "other")}, undecided},
		{"rows deleted since", txn, []Row{row("a", 0, ""), row("b", 0, "")}, undecided},
		{"an absent row may have been written and deleted since", claim, []Row{row("a", 6, "other")}, undecided},
		{"an absent row's first version is another's", claim, []Row{row("a", 6, "other"), row("b", 1, "other")}, wasNotWritten},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, judge(tc.txn, tc.rows))
		})
	}
}

// TestJudgeAbsentRow has a row that was expected to be absent and is: it may
// have been written and deleted since.
func TestJudgeAbsentRow(t *testing.T) {
	txn := Txn{ID: "mine", Writes: []Write{{Row: "a", Expect: 1}, {Row: "b", Expect: 0}}}
	require.Equal(t, undecided, judge(txn, []Row{{Name: "a"}}))
	require.Equal(t, wasNotWritten, judge(txn, []Row{{Name: "b", Version: 1, ChangeID: "other"}}))
}
