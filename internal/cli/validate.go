package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/estate"
)

func (a *app) validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check the declared configuration in a directory",
		ArgsUsage: "DIR",
		Description: `Reads base.yaml, overlays/ and the blocks file, merges and checks them, and
prints every fault with its file, line and remedy. Nothing leaves the machine.

Examples:
  banyanctl validate examples/tiszahid
  banyanctl validate . && git commit -a`,
		Action: action(1, func(_ context.Context, c *cli.Command) error {
			e, err := config.Load(c.Args().First())
			if err != nil {
				return err
			}
			a.printf("valid: estate %s\n", summary(e))
			return nil
		}),
	}
}

// summary tells the size of an estate in one line.
func summary(e *estate.Estate) string {
	backends := 0
	for i := range e.Services {
		backends += len(e.Services[i].Backends)
	}
	return fmt.Sprintf("%s: %d regions, %d zones, %d sites, %d links, %d services, %d backend servers, %d blocks",
		e.Name, len(e.Regions), len(e.Zones), len(e.Sites), len(e.Links), len(e.Services), backends, len(e.Blocks))
}
