// Package daemon puts the parts of an entry instance together and runs them
// until the planned stop has ended.
package daemon

import (
	"context"
	"io"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/telemetry"
)

// Run runs the daemon until ctx ends and its work is handed over.
func Run(ctx context.Context, s static.Settings, logs io.Writer) error {
	log := telemetry.NewLogger(logs, s.Log.Level, s.ID)
	log.Info().Str("zone", s.Zone).Msg("started")
	<-ctx.Done()
	return nil
}
