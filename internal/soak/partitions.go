package soak

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/faultproxy"
	"github.com/banyandeal/banyandeal/internal/wait"
)

const (
	// minPartition and maxPartition bound how long instances reach no backend server.
	minPartition = 5 * time.Second
	maxPartition = 9 * time.Second
	// servedAsOften is the least share of first attempts that partitioned instances serve,
	// relative to the others. Failures up to failedFree and failedShare of all are allowed.
	servedAsOften = 2.0 / 3
	failedFree    = 10
	failedShare   = 1.0 / 50
)

// partitionHarms are what happens to connections between the instances and backend servers.
var partitionHarms = []faultproxy.Harm{faultproxy.Refuse, faultproxy.RefuseNew, faultproxy.Silent}

// partitionInstances separates some instances from all backend servers for a while: one, those
// of a zone, or half of those of a region.
func partitionInstances(ctx context.Context, e *environment, rng *rand.Rand) error {
	harm, chosen := partitionHarms[rng.IntN(len(partitionHarms))], e.instancesTogether(rng)
	length := minPartition + time.Duration(rng.Float64()*float64(maxPartition-minPartition))
	e.mu.Lock()
	if e.partition.harm != faultproxy.None {
		e.mu.Unlock()
		return nil
	}
	e.partition = &partition{harm: harm, instances: chosen, from: time.Now()}
	p := e.partition
	e.partitions = append(e.partitions, p)
	_, _ = fmt.Fprintf(e.progress, "%6.1f s  %d instances from %s on reach no backend server, harm %d for %.1f s\n", time.Since(e.created).Seconds(), len(chosen), chosen[0].name, harm, length.Seconds())
	backends := slices.Clone(e.backends)
	e.mu.Unlock()
	for _, b := range backends {
		b.proxy.SetPart(harm, p.affects)
	}
	wait.Sleep(ctx, length)
	e.mu.Lock()
	defer e.mu.Unlock()
	p.to = time.Now()
	e.partition = &partition{}
	for _, b := range append(slices.Clone(e.backends), e.retired...) {
		b.proxy.SetPart(faultproxy.None, nil)
	}
	return nil
}

// instancesTogether returns one instance, all of a zone, or every second one of a region.
func (e *environment) instancesTogether(rng *rand.Rand) []*instance {
	first := e.anyInstance(rng)
	all := []*instance{first}
	switch rng.IntN(3) {
	case 0:
		all = slices.DeleteFunc(slices.Clone(e.instances), func(i *instance) bool { return i.zone != first.zone })
	case 1:
		n := 0
		all = slices.DeleteFunc(slices.Clone(e.instances), func(i *instance) bool {
			if regionOf[i.zone] != regionOf[first.zone] {
				return true
			}
			n++
			return n%2 == 0
		})
	}
	return all
}

// affects reports whether one of the instances has a socket with the given local and remote
// addresses.
func (p *partition) affects(local, remote string) bool {
	inode := socketInode(local, remote)
	if inode == "" {
		return false
	}
	return slices.ContainsFunc(p.instances, func(i *instance) bool { return i.hasSocket(inode) })
}

// hasSocket reports whether the process of an instance has the socket with the given inode.
func (i *instance) hasSocket(inode string) bool {
	i.mu.Lock()
	pid := 0
	if i.cmd != nil && i.cmd.Process != nil {
		pid = i.cmd.Process.Pid
	}
	i.mu.Unlock()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	return slices.ContainsFunc(files, func(f string) bool {
		target, err := os.Readlink(f)
		return err == nil && target == "socket:["+inode+"]"
	})
}

// socketInode returns the inode of the socket with the given IPv4 addresses, empty if there is
// none.
func socketInode(local, remote string) string {
	wanted := [2]string{tableAddress(local), tableAddress(remote)}
	for range socketReads {
		table, err := os.Open("/proc/net/tcp")
		if err != nil {
			return ""
		}
		inode := inodeIn(table, wanted)
		_ = table.Close()
		if inode != "" {
			return inode
		}
	}
	return ""
}

// tableAddress returns an IPv4 address as the kernel's table writes it, empty if it is none.
func tableAddress(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		return ""
	}
	ip := parsed.Addr().As4()
	slices.Reverse(ip[:])
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip[:])), parsed.Port())
}

// socketReads is how often the kernel's table is read for one socket. A read may miss sockets
// while others come and go.
const socketReads = 3

// inodeIn returns the inode of the socket with a local and a remote address in a table of
// sockets, empty if there is none. Several connections may have the same local address.
func inodeIn(table io.Reader, addresses [2]string) string {
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == addresses[0] && fields[2] == addresses[1] {
			return fields[9]
		}
	}
	return ""
}

// partitionViolations returns the partitions in which callers of the partitioned instances were
// served far worse than those of the others, from contact on, at instances in touch.
func partitionViolations(e *environment, records []record) []string {
	var violations []string
	for _, p := range e.partitions {
		cut := map[string]bool{}
		for _, i := range p.instances {
			cut[i.address(callerPort)] = true
		}
		var theirs, others tally
		for _, r := range records {
			if r.method != http.MethodGet || r.pipelined || r.sent.Before(p.from.Add(contact)) || r.sent.Add(r.latency).After(p.to) || !e.inTouch(r.instance, r.sent, r.sent.Add(r.latency)) {
				continue
			}
			if cut[r.instance] {
				theirs.add(r)
			} else {
				others.add(r)
			}
		}
		if theirs.isFarWorse(others) {
			violations = append(violations, fmt.Sprintf("%d instances from %s on that reached no backend server (harm %d) served %d of %d, the others %d of %d",
				len(p.instances), p.instances[0].name, p.harm, theirs.served, theirs.all, others.served, others.all))
		}
	}
	return violations
}

// tally counts requests.
type tally struct{ all, served int }

func (t *tally) add(r record) {
	t.all++
	if r.err == nil && r.status < http.StatusMultipleChoices || r.status == http.StatusNotFound {
		t.served++
	}
}

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.all)) }

// isFarWorse reports whether requests were served less than servedAsOften as often as others,
// and more of them failed than are allowed.
func (t tally) isFarWorse(others tally) bool {
	allowed := failedFree + failedShare*float64(t.all+others.all)
	return t.share() < servedAsOften*others.share() && float64(t.all-t.served) > allowed
}
