package load

import "time"

// Believe is the policy of the daemon: a report is fresh for a few heartbeats,
// and some seconds later says nothing but the configured share. A refusal holds
// for about the time in which a slot comes free again.
var Believe = Policy{Fresh: 2 * time.Second, Stale: 10 * time.Second, Share: 700, RefusalHold: 50 * time.Millisecond}
