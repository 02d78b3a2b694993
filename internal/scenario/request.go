package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/filter/accept"
	"github.com/banyandeal/banyandeal/internal/lookup"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

const (
	// requestLimit bounds the wait for the end of any request.
	requestLimit = 30 * time.Second
	// homeTries bounds the look-ups until one names the wanted home.
	homeTries = 256
	tokenName = "t"
)

// request is one request of a caller.
type request struct {
	name, token, method, path, service, key string
	size                                    int64
	cancel                                  context.CancelFunc
	// ended is closed when end is set.
	ended chan struct{}
	end   string
}

// lookup asks an instance which instances a caller of the region is to use.
func (w *world) lookup(at, service, caller string) (lookup.Answer, error) {
	var answer lookup.Answer
	in, err := w.instance(at)
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	q := url.Values{"service": {service}, "caller": {caller}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.addr.Caller+"/v1/lookup?"+q.Encode(), nil)
	if err != nil {
		return answer, errors.Trace(err)
	}
	res, err := oneShot().Do(req)
	if err != nil {
		return answer, errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return answer, errors.New(errorEnd(res))
	}
	return answer, errors.Trace(json.NewDecoder(res.Body).Decode(&answer))
}

// oneShot returns a client whose requests are never sent again.
func oneShot() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// caller returns the address of the nth caller near a region.
func (w *world) caller(region string, n int) string {
	const hosts = 16
	for i, r := range w.estate.Regions {
		if r.Name == region {
			// Neighbouring numbers lie in different units of steering.
			return fmt.Sprintf("10.%d.%d.%d", i+1, n%256, n%hosts+1)
		}
	}
	return "10.1.0.1"
}

// newKey looks up until the first instance is the wanted home.
func (w *world) newKey(home, service string) (string, error) {
	in, err := w.instance(home)
	if err != nil {
		return "", err
	}
	z, _ := w.estate.ZoneOf(in.zone)
	for n := range homeTries {
		answer, err := w.lookup(home, service, w.caller(z.Region, n))
		if err == nil && answer.Instances[0].ID == home {
			return answer.Key, nil
		}
	}
	return "", errors.Errorf("no look-up names %s first", home)
}

// send starts a request: words are its name, method and path.
func (w *world) send(name string, a args) error {
	in, err := w.instance(a.text("at", ""))
	if err != nil {
		return err
	}
	f := &request{
		name: name, token: name, method: a.word(0), path: a.word(1), service: a.text("service", "loans"),
		size: int64(a.number("size", 0)), ended: make(chan struct{}),
	}
	if like := w.requests[a.text("like", "")]; like != nil {
		f.token, f.method, f.path, f.service, f.key = like.token, like.method, like.path, like.service, like.key
	}
	if k := a.text("key", ""); k != "" {
		if f.key = w.keys[k]; f.key == "" {
			f.key = k
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	f.cancel = cancel
	w.requests[name] = f
	req, err := f.build(ctx, in.addr.Caller, a.time("deadline", 0))
	if err != nil {
		cancel()
		return errors.Trace(err)
	}
	w.sent.Go(func() {
		defer cancel()
		defer close(f.ended)
		f.end = f.do(req)
	})
	return nil
}

func (f *request) build(ctx context.Context, to string, deadline time.Duration) (*http.Request, error) {
	q := url.Values{tokenName: {f.token}}
	if f.size > 0 {
		q.Set("size", strconv.FormatInt(f.size, 10))
	}
	var body io.Reader
	if f.method == http.MethodPost {
		body = strings.NewReader("body of " + f.token)
	}
	req, err := http.NewRequestWithContext(ctx, f.method, "http://"+to+"/"+f.service+f.path+"?"+q.Encode(), body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if deadline > 0 {
		req.Header.Set(filter.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	if f.key != "" {
		req.Header.Set(filter.HeaderIdempotencyKey, f.key)
	}
	return req, nil
}

// do sends the request once and returns how it ended, as scripts print it.
func (f *request) do(req *http.Request) string {
	res, err := oneShot().Do(req)
	if errors.Is(err, context.Canceled) {
		return "cancelled"
	}
	if err != nil {
		return "no answer"
	}
	defer func() { _ = res.Body.Close() }()
	if res.Header.Get(filter.HeaderOutcome) != "done" || res.StatusCode != http.StatusOK {
		return errorEnd(res)
	}
	a, err := backend.ReadAnswer(res.Body, f.size)
	switch {
	case err != nil:
		return "cut answer"
	case !strings.Contains(a.URL, tokenName+"="+f.token) || a.Method != f.method || f.key != "" && a.Key != f.key:
		return "ANOTHER'S ANSWER"
	}
	return "done by " + a.Backend
}

// errorEnd returns outcome and kind of an answer of the system itself.
func errorEnd(res *http.Response) string {
	var body accept.ErrorBody
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		return fmt.Sprintf("status %d, %s", res.StatusCode, res.Header.Get(filter.HeaderOutcome))
	}
	if body.Outcome != res.Header.Get(filter.HeaderOutcome) {
		return "body and header differ"
	}
	end := body.Outcome + " " + body.Kind
	if body.RetryAfterMS > 0 {
		end += " retry-after"
	}
	return end
}

// runsOf returns the runs of a request on all backend servers.
func (w *world) runsOf(token string) []backend.Run {
	var out []backend.Run
	for _, b := range w.backends {
		for _, r := range b.Runs() {
			u, err := url.Parse(r.URL)
			if err == nil && u.Query().Get(tokenName) == token {
				out = append(out, r)
			}
		}
	}
	return out
}
