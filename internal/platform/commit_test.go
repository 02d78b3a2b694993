package platform

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPriorOutcome(t *testing.T) {
	txn := Txn{ID: "mine", Writes: []Write{{Row: "a", Expect: 4}, {Row: "b", Expect: 7}}}
	row := func(name string, version uint64, id string) Row {
		return Row{Name: name, Version: version, ChangeID: id}
	}
	withAbsentRow := Txn{ID: "mine", Writes: []Write{{Row: "a", Expect: 4}, {Row: "b", Expect: 0}}}
	for _, tc := range []struct {
		name string
		txn  Txn
		rows []Row
		want priorOutcome
	}{
		{"own change id", txn, []Row{row("a", 5, "mine"), row("b", 8, "mine")}, priorWritten},
		{"own change id on one row", txn, []Row{row("a", 9, "other"), row("b", 8, "mine")}, priorWritten},
		{"another transaction wrote the next version", txn, []Row{row("a", 5, "other"), row("b", 9, "other")}, priorNotWritten},
		{"a row still has the expected version", txn, []Row{row("b", 9, "other")}, priorNotWritten},
		{"all rows have later versions", txn, []Row{row("a", 6, "other"), row("b", 9, "other")}, priorUnknown},
		{"rows were deleted since", txn, []Row{row("a", 0, ""), row("b", 0, "")}, priorUnknown},
		{"an absent row may have been written and deleted since", withAbsentRow, []Row{row("a", 6, "other")}, priorUnknown},
		{"another transaction wrote the first version of an absent row", withAbsentRow, []Row{row("a", 6, "other"), row("b", 1, "other")}, priorNotWritten},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, priorOutcomeOf(tc.txn, tc.rows))
		})
	}
}

// A row that was expected to be absent and still is proves nothing: it may have
// been written and deleted since then.
func TestPriorOutcomeOfAbsentRow(t *testing.T) {
	txn := Txn{ID: "mine", Writes: []Write{{Row: "a", Expect: 1}, {Row: "b", Expect: 0}}}
	require.Equal(t, priorUnknown, priorOutcomeOf(txn, []Row{{Name: "a"}}))
	require.Equal(t, priorNotWritten, priorOutcomeOf(txn, []Row{{Name: "b", Version: 1, ChangeID: "other"}}))
}
