package daemon

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
)

// maxLimitLines bounds the lines per second about request limits.
const maxLimitLines = 20

// limitReporter logs and counts changes of the request limits of backend servers.
type limitReporter struct {
	log     zerolog.Logger
	metrics *metrics.Metrics
}

// change reports a change of a limit, which the given number of instances share.
func (r *limitReporter) change(c limit.Change, instances int) {
	what := limitChangeName(c)
	r.metrics.Add(fmt.Sprintf("limits_%s_%s", what, c.Cause), 1)
	e := r.log.Info().Str("event", "limit_"+what).Str("backend", c.Backend.ID).Str("cause", string(c.Cause)).Int("instances", instances)
	if c.To.Limited {
		e.Float64("limit", c.To.PerSecond).Float64("issued", admission.GrantShare(c.To.PerSecond))
	}
	if c.From.Limited {
		e.Float64("limit_before", c.From.PerSecond).Dur("age_before", time.Since(c.From.Since))
	}
	e.Msg("")
}

// limitChangeName names the kind of a change.
func limitChangeName(c limit.Change) string {
	switch {
	case !c.From.Limited:
		return "learnt"
	case c.To.Limited:
		return "changed"
	}
	return "ended"
}
