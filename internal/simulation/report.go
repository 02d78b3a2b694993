package simulation

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// Report is what became of one run.
type Report struct {
	// Day is the day in its format.
	Day string
	// Requests counts the requests, Served those that got a success.
	Requests, Served int
	Violations       []Violation
	// Digest identifies what callers and backend servers have seen, with all times.
	Digest string
	// Seconds holds what was seen in each second of the traffic and after it.
	Seconds []Second
	// Life tells what became of the request that was followed.
	Life []string `json:",omitempty"`
	// Processor is the processor time of the run.
	Processor time.Duration
}

// newReport judges what was seen on a day.
func newReport(d Day, o *Observations, log *logLines) Report {
	r := Report{
		Day: d.String(), Requests: len(o.Requests), Violations: Judge(o), Digest: digest(o),
		Seconds: secondsOf(o, log.ages), Life: lifeOf(o, log),
	}
	for _, request := range o.Requests {
		if request.served() {
			r.Served++
		}
	}
	return r
}

// Rules returns how often each rule was broken.
func (r Report) Rules() map[string]int {
	count := map[string]int{}
	for _, v := range r.Violations {
		count[v.Rule]++
	}
	return count
}

// Summary lists the first violations of each rule.
func (r Report) Summary() string {
	const shown = 2
	count, text := map[string]int{}, ""
	for _, v := range r.Violations {
		if count[v.Rule]++; count[v.Rule] <= shown {
			text += fmt.Sprintf("%s at %s: %s\n", v.Rule, v.At.Format("05.000"), v.Detail)
		}
	}
	return fmt.Sprintf("%s%d of %d served; broken: %v", text, r.Served, r.Requests, count)
}

// digest returns a hash of the requests and arrivals with their times.
func digest(o *Observations) string {
	lines := make([]string, 0, len(o.Requests)+len(o.Arrivals))
	for _, r := range o.Requests {
		lines = append(lines, fmt.Sprint(r.ID, r.Instance, r.Status, r.Stamp, r.Sent.UnixNano(), r.Ended.UnixNano(), r.Err))
	}
	for _, a := range o.Arrivals {
		lines = append(lines, fmt.Sprint(a.ID, a.Backend, a.Node, a.At.UnixNano(), a.Ran))
	}
	slices.SortFunc(lines, cmp.Compare[string])
	h := sha256.New()
	for _, line := range lines {
		_, _ = fmt.Fprintln(h, line)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// BrokenFirst returns the reports, those of days that broke a rule first.
func BrokenFirst(reports []Report) []Report {
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b Report) int { return cmp.Compare(len(b.Violations), len(a.Violations)) })
	return sorted
}

// Total tells in a line what became of all days.
func Total(reports []Report) string {
	days, requests, served, processor := 0, 0, 0, time.Duration(0)
	rules := map[string]int{}
	for _, r := range reports {
		requests, served, processor = requests+r.Requests, served+r.Served, processor+r.Processor
		for rule := range r.Rules() {
			rules[rule]++
		}
		if len(r.Violations) > 0 {
			days++
		}
	}
	return fmt.Sprintf("%d days, %d broke a rule %v; %d of %d requests served; %s of processor time",
		len(reports), days, rules, served, requests, processor.Round(time.Second))
}
