package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/standin/caller"
	"github.com/banyandeal/banyandeal/internal/standin/registered"
)

const (
	callerNode = "callers"
	// callerTimeout is the timeout of a request, callerPatience how much longer a caller waits.
	callerTimeout  = 2 * time.Second
	callerPatience = 500 * time.Millisecond
	// maxAttempts is the largest number of attempts of a route.
	maxAttempts = 3
	// objects is the number of affinity keys of requests.
	objects = 60
	// crashBody begins the body of a request that crashes backend servers.
	crashBody = "crash"
)

// act crashes a backend server that gets a request which does so.
func act(a *registered.Arrival) registered.Act {
	if strings.HasPrefix(a.Body, crashBody) {
		return registered.Crash
	}
	return registered.Run
}

// call sends requests at random instances until a time, so many a second.
func (e *Estate) call(seed uint64, perSecond int, until time.Time) {
	rng := rand.New(rand.NewPCG(seed, 2))
	for time.Now().Before(until) {
		// Round intervals would meet the timers of instances.
		time.Sleep(time.Duration((0.5 + rng.Float64()) * float64(time.Second) / float64(perSecond)))
		routes := e.calledRoutes()
		r := routes[rng.IntN(len(routes))]
		i := e.instances[rng.IntN(len(e.instances))]
		object := fmt.Sprint("object-", rng.IntN(objects))
		e.work.Go(func() { e.send(i, r, object, "") })
	}
}

// calledRoutes returns the routes that callers use.
func (e *Estate) calledRoutes() []Route {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.routes[:min(len(e.routes), maxCalled)])
}

// maxCalled is the number of routes that callers use.
const maxCalled = 40

// send sends one request to an instance and records what became of it.
func (e *Estate) send(i *instance, route Route, object, body string) {
	e.mu.Lock()
	e.ids++
	r := Request{ID: fmt.Sprint("id-", e.ids), Route: route, Instance: i.name, Sent: time.Now(), Body: body}
	e.mu.Unlock()
	resp, text, err := e.exchange(i, r, object)
	r.Ended, r.Err = time.Now(), err
	if resp != nil {
		r.Status, r.Stamp, r.Answer = resp.StatusCode, resp.Header.Get(caller.HeaderStamp), text
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, r)
}

// exchange sends a request on a new connection and reads the response.
func (e *Estate) exchange(i *instance, r Request, object string) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+callerPatience)
	defer cancel()
	nc, err := e.callers.DialContext(ctx, "tcp", i.address(callerPort))
	if err != nil {
		return nil, "", err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { _ = nc.Close() })()
	method := http.MethodPost
	if r.Route.Idempotent && r.Body == "" {
		method = http.MethodGet
	}
	request := caller.Request{Method: method, Path: r.Route.Prefix + "x", Host: host, Body: r.Body, Object: object, Timeout: callerTimeout}
	if _, err := io.WriteString(nc, request.Encode(r.ID)); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}
