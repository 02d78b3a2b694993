package load

import "time"

// DefaultPolicy is the policy of the daemon. A report is fresh for a few
// heartbeats and is ignored some seconds later, in favour of the assumed
// utilisation. A refusal holds for about the time in which a slot becomes free
// again.
var DefaultPolicy = Policy{FreshAge: 2 * time.Second, StaleAge: 10 * time.Second, AssumedUtilisation: 700, RefusalHold: 50 * time.Millisecond}
