package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/filter/accept"
	"github.com/banyandeal/banyandeal/internal/lookup"
	"github.com/banyandeal/banyandeal/internal/operator/client"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

const (
	flagEntry = "entry"
	envEntry  = "BANYAN_ENTRY"
	// maxLookupBytes bounds the answer of a look-up.
	maxLookupBytes = 64 << 10
)

func (a *app) lookupCommand() *cli.Command {
	return &cli.Command{
		Name:  "lookup",
		Usage: "ask which entry instances a caller is steered to",
		Description: `Asks an entry instance as a caller does, and prints the entry instances in the
order of their use, how long the answer may be kept and the idempotency key.

Examples:
  banyanctl lookup --service scoring --caller 10.10.0.7 --entry 10.0.0.11:8080
  BANYAN_ENTRY=10.0.0.11:8080 banyanctl lookup --service scoring --caller 10.10.0.7`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "caller", Required: true, Usage: "`IP` address of the caller"},
			&cli.StringFlag{Name: flagEntry, Sources: cli.EnvVars(envEntry), Usage: "caller address, `IP:PORT`, of any entry instance"},
		},
		Action: action(0, a.lookup),
	}
}

func (a *app) lookup(ctx context.Context, c *cli.Command) error {
	entry := c.String(flagEntry)
	if entry == "" {
		return usagef("give --entry IP:PORT or set "+envEntry, "no entry instance is known")
	}
	timeout, err := callTimeout(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{"service": {c.String("service")}, "caller": {c.String("caller")}}
	answer, err := askLookup(ctx, entry, query)
	if err != nil {
		return err
	}
	a.printf("service %s, version %d, may be kept for %s, key %s\n\n", answer.Service, answer.Version,
		time.Duration(answer.TTLMS)*time.Millisecond, answer.Key)
	return table(a.Stdout, "ORDER\tZONE\tINSTANCE\tADDRESS", func(line func(string, ...any)) {
		for i, e := range answer.Instances {
			line("%d\t%s\t%s\t%s", i+1, e.Zone, e.ID, e.Address)
		}
	})
}

// askLookup returns the answer of an entry instance. Errors: UsageError for a
// question that it refuses, outcome.Error while it can't answer, Unreachable.
func askLookup(ctx context.Context, entry string, query url.Values) (lookup.Answer, error) {
	var answer lookup.Answer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, client.BaseURL(entry)+"/v1/lookup?"+query.Encode(), nil)
	if err != nil {
		return answer, usagef("correct --entry", "%v", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer, noAnswer(entry, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLookupBytes))
	if err != nil {
		return answer, noAnswer(entry, err)
	}
	if res.StatusCode != http.StatusOK {
		return answer, lookupRefused(entry, res.StatusCode, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, noAnswer(entry, err)
	}
	return answer, nil
}

func lookupRefused(entry string, status int, body []byte) error {
	var r accept.ErrorBody
	switch {
	case json.Unmarshal(body, &r) != nil || r.Kind == "":
		return noAnswer(entry, errors.Errorf("status %d", status))
	case status < http.StatusInternalServerError:
		return usagef(r.Remedy, "the look-up is refused: %s", r.Message)
	}
	return errors.Trace(&outcome.Error{
		Outcome: outcome.NotRun, Kind: outcome.Kind(r.Kind), Message: "instance at " + entry + ": " + r.Message, Remedy: r.Remedy,
	})
}

func noAnswer(entry string, err error) error {
	return errors.Trace(&client.Unreachable{Addr: entry, Listener: "caller", Cause: client.UnwrapURLError(err)})
}
