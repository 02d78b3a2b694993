package load

import "time"

// DefaultPolicy is the policy of the daemon: a report is fresh for a few heartbeats,
// and some seconds later says nothing but the configured share. A refusal holds
// for about the time in which a slot comes free again.
var DefaultPolicy = Policy{FreshAge: 2 * time.Second, StaleAge: 10 * time.Second, AssumedUtilisation: 700, RefusalHold: 50 * time.Millisecond}
