package emulator

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"

	"github.com/juju/errors"
)

// Selection selects what Compare simulates.
type Selection struct {
	// Deployments and Days are names. An empty list selects all.
	Deployments, Days []string
	// Seeds is the number of seeds for each day. The seeds count from 0.
	Seeds int
}

// Row holds the scores of one day of a deployment.
type Row struct {
	Deployment, Day string
	// Scores holds the mean score of each policy, in the order of Policies.
	Scores []Score
}

// Compare simulates the selected days with all policies and the same seeds. It
// uses half of the processors. Errors: NotValid if the selection matches no
// deployment or no day.
func Compare(s Selection) ([]Row, error) {
	rows, err := s.rows()
	if err != nil {
		return nil, err
	}
	var simulations sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for i := range rows {
		for n := range Policies {
			simulations.Add(1)
			slots <- struct{}{}
			go func() {
				defer simulations.Done()
				defer func() { <-slots }()
				rows[i].Scores[n] = meanScore(rows[i], n, s.Seeds)
			}()
		}
	}
	simulations.Wait()
	return rows, nil
}

// rows returns the selected rows with zero scores.
func (s Selection) rows() ([]Row, error) {
	var rows []Row
	for _, d := range Deployments {
		for _, day := range Days {
			if selected(s.Deployments, d.Name) && selected(s.Days, day.Name) {
				rows = append(rows, Row{Deployment: d.Name, Day: day.Name, Scores: make([]Score, len(Policies))})
			}
		}
	}
	if len(rows) == 0 {
		return nil, errors.NotValidf("selection without a known deployment and day (see --help for their names)")
	}
	return rows, nil
}

// selected reports whether the list contains the name. An empty list contains
// all names.
func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// meanScore returns the mean score of a policy over the seeds. policy is an
// index of Policies.
func meanScore(r Row, policy, seeds int) Score {
	d := Deployments[slices.IndexFunc(Deployments, func(d *Deployment) bool { return d.Name == r.Deployment })]
	day := Days[slices.IndexFunc(Days, func(d Day) bool { return d.Name == r.Day })]
	var mean Score
	for seed := range seeds {
		mean.add(Simulate(d, day, Policies[policy].New, uint64(seed)), 1/float64(seeds))
	}
	return mean
}

// add adds the weighted fields of o.
func (s *Score) add(o Score, weight float64) {
	s.Overall += o.Overall * weight
	s.Windows += o.Windows * weight
	s.Kind += o.Kind * weight
	s.Zone += o.Zone * weight
	s.Served += o.Served * weight
	s.Rejected += o.Rejected * weight
	s.Failed += o.Failed * weight
}

// Print writes the total score of each row and policy as a Markdown table.
func Print(w io.Writer, rows []Row) error {
	head, rule := "| deployment | day |", "| --- | --- |"
	for _, p := range Policies {
		head += " " + p.Name + " |"
		rule += " --- |"
	}
	lines := []string{head, rule}
	for _, r := range rows {
		line := fmt.Sprintf("| %s | %s |", r.Deployment, r.Day)
		for _, s := range r.Scores {
			line += fmt.Sprintf(" %.3f |", s.Total())
		}
		lines = append(lines, line)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return errors.Annotate(err, "write the table")
		}
	}
	return nil
}
