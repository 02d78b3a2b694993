// Package scenario runs scripts against the whole system in one process: the
// platform's stand-in, entry instances, backend servers and callers, with
// failures between them. The language is that of cockroachdb/datadriven: one
// command a block, its golden output after four dashes. Output holds no times,
// ports or counts that a busy machine could change.
//
//	world               the estate, one line a region, zone, site, link, service or backend
//	start ID...         start entry instances (zone=Z, or each named after its zone: a1 is in zone a)
//	apply               put the estate in force: [author=A] [expect=N] [id=CHANGE]
//	declare             change the estate: zone|region|backend NAME active|draining, link FROM TO in-flight=N
//	key NAME home=ID    fetch a key by look-up whose home is the instance
//	lookup at=ID        first zone of a look-up: [from=REGION] [service=S]
//	send NAME           start a request: METHOD PATH at=ID [key=K] [like=NAME] [deadline=D]
//	flood NAME          start many: n=N METHOD PATH at=ID [key=new]
//	cancel NAME         the caller goes away
//	outcome NAME...     wait for the ends of requests and print them; kinds=no: outcomes alone
//	runs NAME...        how often backend servers began to run a request
//	total NAME          counts of the ends of a flood; counts=no, kinds=no leave these out
//	served NAME         runs that a backend server has begun so far
//	peak [NAME...]      whether backend servers ever had more at once than slots
//	exit ID             wait for the end of an instance
//	backend NAME        set faults: hold, release, shed, crash=PATH, health=ok|fail, drop=N, cut=N, late=N, drain, up, down
//	list ID STATE       what the platform's list says: live, leaving or gone
//	platform FAULT...   up, down, unavailable, slow=D, lose-replies=N, lose-requests=N, stale=N, frozen-list
//	cut A B / heal A B  A and B are instances, backends, zones, regions or platform
//	silence A B         the open connections go silent for good
//	pause, resume, kill, stop ID
//	wait COND           poll until it holds: see wait.go
//	expect COND         check it once
//	never COND for=D    check that it does not come to hold within the time
package scenario
