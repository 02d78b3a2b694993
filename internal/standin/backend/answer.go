package backend

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

const (
	maxAnswerLine = 64 << 10
	maxAnswerSize = 256 << 20
)

// Answer is the first line of an answer's body. It repeats the request, so
// that an answer to another request is seen.
type Answer struct {
	Backend string `json:"backend"`
	Key     string `json:"key"`
	Request string `json:"request"`
	Run     uint64 `json:"run"`
	Method  string `json:"method"`
	URL     string `json:"url"`
	// BodySum is the xxhash64 of the request's body, in hex.
	BodySum string `json:"body_sum"`
}

// line returns the answer's first line.
func (a Answer) line() []byte {
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return append(b, '\n')
}

// fill returns n bytes of the filler that follows the first line of a large
// answer, starting at its byte off. It repeats the URL.
func (a Answer) fill(off, n int64) []byte {
	unit := a.URL + "\n"
	p := make([]byte, n)
	for i := range p {
		p[i] = unit[(off+int64(i))%int64(len(unit))]
	}
	return p
}

// ReadAnswer reads an answer and checks that it is whole: at least size bytes,
// and the first line's own filler to its end.
func ReadAnswer(r io.Reader, size int64) (Answer, error) {
	in := bufio.NewReader(io.LimitReader(r, maxAnswerSize))
	line, err := in.ReadSlice('\n')
	if err != nil || len(line) > maxAnswerLine {
		return Answer{}, errors.Errorf("the answer's first line is cut: %v", err)
	}
	var a Answer
	if err := json.Unmarshal(line, &a); err != nil {
		return Answer{}, errors.Annotate(err, "the answer's first line")
	}
	total := int64(len(line))
	rest, err := io.ReadAll(in)
	if err != nil {
		return a, errors.Annotate(err, "the answer is cut")
	}
	total += int64(len(rest))
	if total < size {
		return a, errors.Errorf("the answer has %d of %d bytes", total, size)
	}
	if string(rest) != string(a.fill(0, int64(len(rest)))) {
		return a, errors.New("the answer's filler belongs to another answer")
	}
	return a, nil
}
