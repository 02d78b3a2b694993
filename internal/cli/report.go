package cli

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/report"
	"github.com/banyandeal/banyandeal/platform/journal"
)

func (a *app) reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "plot the scores of the users' bench",
		Description: `Reads the journal that the users' bench leaves and writes a page with plots: worth
by day, credit by kind of request, and what the last play lost.

Example:
  banyanctl report --journal journal --out scores.html`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journal", Value: "journal", Usage: "`DIR` of the bench's journal"},
			&cli.StringFlag{Name: "out", Value: "scores.html", Usage: "`FILE` to write"},
		},
		Action: action(0, func(_ context.Context, c *cli.Command) error {
			return a.report(c.String("journal"), c.String("out"))
		}),
	}
}

func (a *app) report(dir, out string) (err error) {
	scores, err := journal.Scores(dir)
	if err != nil {
		return err
	}
	f, err := os.Create(out)
	if err != nil {
		return errors.Annotate(err, "write the page")
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = errors.Annotate(closeErr, "write the page")
		}
	}()
	if err := report.Write(f, scores); err != nil {
		return err
	}
	a.printf("%s shows %d scores\n", out, len(scores))
	return nil
}
