package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// fileMode is that of a file that an edit creates.
const fileMode = 0o644

// OutOfDateError is returned when a directory is not what is in force, so that
// applying an edit of it would change more than the edit.
type OutOfDateError struct {
	Dir  string
	Head publish.Head
	// Changes are what applying the directory unedited would change.
	Changes []config.Change
}

// Error implements error.
func (e *OutOfDateError) Error() string {
	return fmt.Sprintf("%s is not what is in force (version %d by %s), %d differences, the first is %q; "+
		"nothing was changed: look at banyanctl diff %s, then bring the directory up to date or apply it",
		e.Dir, e.Head.Version, e.Head.Author, len(e.Changes), e.Changes[0], e.Dir)
}

// editor carries one edit of a directory through.
type editor struct {
	app *app
	dir string
	// writer is nil if the edit is not to be put in force.
	writer *writer
	before *estate.Estate
	edit   *config.Edit
}

func (e *editor) load(target config.Target, state estate.State) error {
	files, err := config.ReadFiles(e.dir)
	if err != nil {
		return err
	}
	if e.before, err = config.Parse(files); err != nil {
		return err
	}
	e.edit, err = config.SetState(files, target, state, e.app.Clock.Now())
	return err
}

func (e *editor) show(target config.Target, state estate.State) {
	if len(e.edit.Files) == 0 {
		e.app.printf("%s %s is %s already in %s\n", target.Kind, target.Name, state, e.dir)
		return
	}
	e.app.printf("%s", e.edit)
}

// carryOut puts the edit in force, if it is to be, and only then writes it to
// the directory: a directory that is ahead of what is in force would be in the
// way of the next edit.
func (e *editor) carryOut(ctx context.Context) error {
	if e.writer == nil {
		return e.write()
	}
	start := e.app.Clock.Now()
	version, err := e.putInForce(ctx)
	if err != nil {
		return err
	}
	if err := e.write(); err != nil {
		return errors.Annotatef(err, "version %d is accepted, but its lines are not in %s; write them by hand", version, e.dir)
	}
	return e.writer.await(ctx, version, start)
}

// putInForce returns the version that has the edit. Errors: OutOfDateError and
// those of publish.Apply.
func (e *editor) putInForce(ctx context.Context) (uint64, error) {
	head, current, err := inForce(ctx, e.writer.store)
	if err != nil {
		return 0, err
	}
	if head.Version == 0 {
		return 0, usagef("apply the directory first: banyanctl apply "+e.dir+" --expect-version 0", "no version is in force")
	}
	if len(changes(current, e.edit.Estate)) == 0 {
		e.app.printf("version %d has this already\n", head.Version)
		return head.Version, nil
	}
	if list := changes(current, e.before); len(list) > 0 {
		return 0, errors.Trace(&OutOfDateError{Dir: e.dir, Head: head, Changes: list})
	}
	return e.writer.commit(ctx, e.edit.Estate, head.Version)
}

func (e *editor) write() error {
	for _, f := range e.edit.Files {
		if err := replaceFile(filepath.Join(e.dir, filepath.FromSlash(f.Name)), f.Content); err != nil {
			return errors.Trace(err)
		}
		e.app.printf("wrote %s; commit it to version control\n", f.Name)
	}
	return nil
}

// replaceFile writes a file whole or not at all.
func replaceFile(name string, content []byte) error {
	mode := os.FileMode(fileMode)
	if info, err := os.Stat(name); err == nil {
		mode = info.Mode().Perm()
	}
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return errors.Trace(err)
	}
	temp := name + ".new"
	if err := os.WriteFile(temp, content, mode); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.Rename(temp, name))
}
