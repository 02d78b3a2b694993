package control

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/pool"
)

// healthPeriod is the period of probes of owned backend servers.
const healthPeriod = time.Second

// BackendResult takes how a use of a backend server ended.
func (c *Control) BackendResult(pool.Result) {}

func (c *Control) probeBackends() {}
