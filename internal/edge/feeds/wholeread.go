package feeds

import "github.com/banyandeal/banyandeal/platform"

// WholeRead is the position of the last read of all rows of a table, for a receiver of rows
// that also writes to the table. It is not safe for concurrent use.
type WholeRead struct{ at platform.Position }

// Record records that all rows were read at a position.
func (w *WholeRead) Record(at platform.Position) { w.at = at }

// Era returns the era of the read.
func (w *WholeRead) Era() uint64 { return w.at.Era }

// ShowsWrite reports whether the read shows what became of a write, which took effect at a
// version and was sent when the era of the last read was the given one. The response to such a
// write says nothing new.
func (w *WholeRead) ShowsWrite(era, version uint64) bool {
	return w.at.Compare(platform.Position{Era: era, Version: version}) >= 0
}
