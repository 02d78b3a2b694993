// Command programs-3 plays the cases of review/11 to review/15: it starts instances as separate
// processes, with stand-ins for the store, upstreams and clients, and exits with 1 if the rule of
// the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// world is what a case plays in.
type world struct {
	dir       string
	trouble   bool
	log       *record
	store     *platformStore
	instances []*instance
	upstreams []*upstream
	clients   *clients
	// storeOf returns the address by which an instance reaches the store; nil if all reach it
	// directly.
	storeOf func(i *instance) string
}

// cases maps the names of the cases to what plays them. A case returns how the rule was broken, or
// an empty text.
var cases = map[string]func(w *world) (broken string, err error){
	"cold":      cold,
	"leaving":   leaving,
	"regress":   regress,
	"removed":   removed,
	"suspended": suspended,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and writes its record into the folder.
func play(name, folder string) int {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", log: newRecord()}
	w.store = newPlatformStore(w.log)
	w.clients = newClients(w.log)
	broken, err := cases[name](w)
	w.close()
	status, verdict := 0, "the rule held"
	switch {
	case err != nil:
		status, verdict = 2, "the case could not run: "+err.Error()
	case broken != "":
		status, verdict = 1, "the rule was broken: "+broken
	}
	fmt.Println(verdict)
	w.log.event("verdict", map[string]any{"verdict": verdict, "trouble": w.trouble})
	if err := os.WriteFile(filepath.Join(folder, "record.txt"), append(bytes.Join(w.log.lines, []byte("\n")), '\n'), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return status
}

// begin starts so many instances in each of the zones and waits until they are ready.
func (w *world) begin(zones ...string) error {
	for n, zone := range zones {
		i := &instance{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%90, os.Getpid()/90%250+1, n+1)}
		w.instances = append(w.instances, i)
		address := w.store.Address()
		if w.storeOf != nil {
			address = w.storeOf(i)
		}
		if err := i.start(w.dir, address); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// addUpstream starts an upstream.
func (w *world) addUpstream(u *upstream) (*upstream, error) {
	u.store, u.log = w.store, w.log
	w.upstreams = append(w.upstreams, u)
	return u, u.start(false)
}

// close ends all that was started.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	for _, u := range w.upstreams {
		u.stop()
	}
	w.store.Close()
}
