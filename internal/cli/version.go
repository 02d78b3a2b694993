package cli

import (
	"context"
	"runtime"

	"github.com/urfave/cli/v3"
)

func (a *app) versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version of the tool",
		Description: "Example:\n  banyanctl version",
		Action: action(0, func(context.Context, *cli.Command) error {
			a.printf("banyanctl %s (%s, %s/%s)\n", a.Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return nil
		}),
	}
}
