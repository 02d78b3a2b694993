package load

import "time"

// Believe is the policy of the daemon: a report is fresh for a few heartbeats,
// and some seconds later says nothing but the configured share.
var Believe = Policy{Fresh: 2 * time.Second, Stale: 10 * time.Second, Share: 700, RefusalHold: 500 * time.Millisecond}
