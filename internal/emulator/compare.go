package emulator

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"

	"github.com/juju/errors"
)

// Selection says what is compared. Empty lists stand for all.
type Selection struct {
	Deployments, Days []string
	// Seeds is how many seeds are played of each day, from 0.
	Seeds int
}

// Row is a day of a deployment with the mean score of each policy, in the order
// of Policies.
type Row struct {
	Deployment, Day string
	Scores          []Score
}

// Compare plays the same seeds with all policies, on half of the processors.
// Errors: NotValid for a name that does not exist.
func Compare(s Selection) ([]Row, error) {
	rows, err := s.rows()
	if err != nil {
		return nil, err
	}
	var playing sync.WaitGroup
	places := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for i := range rows {
		for n := range Policies {
			playing.Add(1)
			places <- struct{}{}
			go func() {
				defer playing.Done()
				defer func() { <-places }()
				rows[i].Scores[n] = meanScore(rows[i], n, s.Seeds)
			}()
		}
	}
	playing.Wait()
	return rows, nil
}

func (s Selection) rows() ([]Row, error) {
	var rows []Row
	for _, d := range Deployments {
		for _, day := range Days {
			if chosen(s.Deployments, d.Name) && chosen(s.Days, day.Name) {
				rows = append(rows, Row{Deployment: d.Name, Day: day.Name, Scores: make([]Score, len(Policies))})
			}
		}
	}
	if len(rows) == 0 {
		return nil, errors.NotValidf("no deployment or day has the name; see --help for theirs, the selection")
	}
	return rows, nil
}

func chosen(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }

func meanScore(r Row, policy, seeds int) Score {
	d := Deployments[slices.IndexFunc(Deployments, func(d *Deployment) bool { return d.Name == r.Deployment })]
	day := Days[slices.IndexFunc(Days, func(d Day) bool { return d.Name == r.Day })]
	var mean Score
	for seed := range seeds {
		mean.add(Play(d, day, Policies[policy].New, uint64(seed)), 1/float64(seeds))
	}
	return mean
}

func (s *Score) add(o Score, weight float64) {
	s.Whole += o.Whole * weight
	s.Windows += o.Windows * weight
	s.Kind += o.Kind * weight
	s.Zone += o.Zone * weight
	s.Served += o.Served * weight
	s.Refused += o.Refused * weight
	s.Failed += o.Failed * weight
}

// Print writes the worth of each day as a Markdown table.
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
			line += fmt.Sprintf(" %.3f |", s.Worth())
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
