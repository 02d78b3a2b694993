package daemon

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/rest"
	"github.com/banyandeal/banyandeal/internal/decide/restart"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
)

// maxLimitLines bounds the lines per second about request limits.
const maxLimitLines = 20

// limitReporter logs and counts what backend servers say of themselves: their request
// limits, their rests, and that they leave or are replaced.
type limitReporter struct {
	log     zerolog.Logger
	metrics *metrics.Metrics
}

// RestChanged implements dispatch.Observer.
func (r *limitReporter) RestChanged(c rest.Change) {
	event := "rest_learnt"
	switch {
	case c.State.Replaced && c.State.Left == 0:
		event = "replaced_learnt"
	case c.State.Leaving && c.State.Left == 0:
		event = "leaving_learnt"
	case c.State.Left == 0:
		event = "rest_ended"
	}
	r.metrics.Add(event, 1)
	r.log.Info().Str("event", event).Str("backend", c.Backend.ID).Dur("left", c.State.Left).Bool("leaving", c.State.Leaving).
		Bool("replaced", c.State.Replaced).Dur("since", time.Since(c.Since)).Dur("last_told", time.Since(c.LastTold)).Msg("")
}

// RestartChecked implements dispatch.Observer.
func (r *limitReporter) RestartChecked(c restart.Change) {
	r.metrics.Add("restart_checks", 1)
	if c.Cold {
		r.metrics.Add("cold_learnt", 1)
	}
	r.log.Info().Str("event", "restart_checked").Str("backend", c.Backend.ID).Bool("cold", c.Cold).Dur("left", c.Left).
		Dur("since", time.Since(c.Since)).Msg("")
}

// LimitChanged implements dispatch.Observer.
func (r *limitReporter) LimitChanged(c limit.Change, instances int) {
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
