package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/platform"
)

// maxLogLine is the longest log line that is read, in bytes.
const maxLogLine = 1 << 20

// beliefEvents are the events that change what an instance believes about the
// backend servers, the configuration and the store.
var beliefEvents = []string{
	"config", "evacuation", "backend", "backend_draining", "backend_removed", "source", "store_lost", "store_regained",
	"feed_failed", "start", "stopping", "reload", "instance_dead", eventLimitLearnt, eventLimitChanged, eventLimitEnded,
	"rest_learnt", "rest_ended", "leaving_learnt", "replaced_learnt",
}

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the life of one request from the logs of instances",
		ArgsUsage: "ID FILE...",
		Description: `Reads logs of entry instances and prints, in the order of time, the lines of the
request and what its instance came to believe before it: its configuration, the
backend server it chose, and the store. Lines of all instances tell whether equal
requests are suspected to crash backend servers, or quarantined.

Examples:
  banyanctl explain 9c41d07be2a35f68 front-a-1.log front-b-1.log`,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return usagef("write banyanctl explain ID FILE...", "explain takes the id of a request and one log file or more")
			}
			if err := a.explain(c.Args().First(), c.Args().Tail()); err != nil {
				return &actionError{cause: err}
			}
			return nil
		},
	}
}

// verdictEvents are the events that tell whether requests with a fingerprint are
// thought to crash backend servers. Those of all instances count, since they share it.
var verdictEvents = []string{"verdict", "isolated", "crash"}

// logLine is a line of an instance's log.
type logLine struct {
	Time        int64  `json:"time"`
	Instance    string `json:"instance"`
	Event       string `json:"event"`
	ID          string `json:"id"`
	Fingerprint string `json:"fingerprint"`
	// Fingerprints holds the requests that a crash is counted for.
	Fingerprints []string `json:"fingerprints"`
	Backend      string   `json:"backend"`
	// LimitedBackend is the backend server because of whose request limit a request was
	// refused. Limit and Issued are requests per second.
	LimitedBackend string `json:"limited_backend"`
	// RestingBackend is the backend server because of whose rest a request was refused, and
	// PassedOver the one that would have got an attempt otherwise.
	RestingBackend string  `json:"resting_backend"`
	PassedOver     string  `json:"passed_over"`
	Limit          float64 `json:"limit"`
	Issued         float64 `json:"issued"`
	text           string
}

func (a *app) explain(id string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	request := findRequest(lines, id)
	if request == nil {
		return errors.Errorf("no line has the id %s; the volume of the log is bounded, look at the counters of its minute", id)
	}
	for _, l := range lines {
		if l.ID == id || request.believed(l) {
			a.printf("%s\n", l.text)
		}
	}
	return nil
}

// requestLines is what the lines of one request say of it.
type requestLines struct {
	instance string
	// last is the time of its last line.
	last int64
	// fingerprint is the same for all repeats of the request.
	fingerprint string
	// backends are those that it was sent to or that were passed over.
	backends map[string]bool
}

// findRequest returns nil when no line has the id.
func findRequest(lines []logLine, id string) *requestLines {
	var r *requestLines
	for _, l := range lines {
		if l.ID != id {
			continue
		}
		if r == nil {
			r = &requestLines{instance: l.Instance, fingerprint: l.Fingerprint, backends: map[string]bool{}}
		}
		r.last = l.Time
		for _, backend := range []string{l.Backend, l.LimitedBackend, l.RestingBackend, l.PassedOver} {
			r.backends[backend] = true
		}
	}
	return r
}

// believed reports whether a line tells what the instance of the request believed
// when it decided.
func (r *requestLines) believed(l logLine) bool {
	if slices.Contains(verdictEvents, l.Event) {
		return (l.Fingerprint == r.fingerprint || slices.Contains(l.Fingerprints, r.fingerprint)) && l.Time <= r.last
	}
	if l.Instance != r.instance || l.Time > r.last || !slices.Contains(beliefEvents, l.Event) {
		return false
	}
	return l.Backend == "" || r.backends[l.Backend]
}

// readLogs returns the lines of several logs in the order of time.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, file := range files {
		more, err := readLog(file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return cmp.Compare(x.Time, y.Time) })
	return lines, nil
}

func readLog(file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Annotate(err, "read a log")
	}
	defer f.Close()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		// A collector may have put its own columns before the object.
		_, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		l := logLine{text: "{" + object}
		if json.Unmarshal([]byte(l.text), &l) == nil {
			lines = append(lines, l)
		}
	}
	return lines, errors.Annotatef(scanner.Err(), "read %s", file)
}

func (a *app) checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and a configuration of the users' platform",
		Description: `Reads a settings file, a configuration, or both, and prints each fault with its
field and remedy. Nothing leaves the machine.

Examples:
  banyanctl check --settings node.yaml --config config.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file of an entry instance (YAML)"},
			&cli.StringFlag{Name: "config", Usage: "configuration as the operator writes it (JSON)"},
		},
		Action: action(0, func(_ context.Context, c *cli.Command) error {
			return a.check(c.String("settings"), c.String("config"))
		}),
	}
}

func (a *app) check(settings, config string) error {
	if settings == "" && config == "" {
		return usagef("name a file with --settings or --config", "there is nothing to check")
	}
	if settings != "" {
		s, err := platform.LoadSettings(settings)
		if err != nil {
			return err
		}
		a.printf("settings are valid: instance %s in zone %s of %s\n", s.Instance, s.Zone, s.Region)
	}
	if config == "" {
		return nil
	}
	raw, err := os.ReadFile(config)
	if err != nil {
		return errors.Annotate(err, "read the configuration")
	}
	parsed, err := platform.DecodeConfig(raw)
	if err != nil {
		return err
	}
	faults := parsed.Validate()
	for _, fault := range faults {
		a.printf("%s\n", fault)
	}
	if len(faults) > 0 {
		return errors.Errorf("the configuration has %d faults", len(faults))
	}
	a.printf("configuration is valid: version %d, %d hosts, %d services\n", parsed.Version, len(parsed.Hosts), len(parsed.Services))
	return nil
}
