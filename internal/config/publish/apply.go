package publish

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// maxParallelObjects is the largest number of objects stored or read at once.
const maxParallelObjects = 8

// Store is the part of the platform that stores configurations. It must return
// the typed errors of package platform; *platform.Client implements it.
type Store interface {
	ReadRow(ctx context.Context, name string) (platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) ([]platform.Row, error)
	PutObject(ctx context.Context, data []byte) (string, error)
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// Apply puts a checked estate in force as the version after ExpectVersion.
// It returns a ConflictError, StaleError or UnavailableError if it applied
// nothing, an UnsettledError if the change may be in force, or a
// config.Error if the configuration can't be encoded or decoded.
func Apply(ctx context.Context, store Store, e *estate.Estate, opts Options) (Result, error) {
	a := NewApplier(e, opts)
	for {
		act := a.Ready()
		if act.Done != nil {
			return *act.Done, nil
		}
		if act.Err != nil {
			return Result{}, act.Err
		}
		perform(ctx, store, a, act)
	}
}

// perform executes an action and reports its result to the Applier.
func perform(ctx context.Context, store Store, a *Applier, act Action) {
	switch {
	case act.ReadHead:
		a.HeadRead(readHead(ctx, store))
	case len(act.Get) > 0:
		a.ObjectsRead(getObjects(ctx, store, act.Get))
	case len(act.Put) > 0:
		a.ObjectsStored(putObjects(ctx, store, act.Put))
	case act.Commit != nil:
		_, err := store.Commit(ctx, *act.Commit)
		a.CommitDone(err)
	}
}

// ReadHead returns the head, or a zero Head if there is no version yet. The
// read may be stale.
func ReadHead(ctx context.Context, store Store) (Head, error) {
	row, err := readHead(ctx, store)
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	return headOf(row)
}

// ReadContent reads the content that a head names from the object store.
func ReadContent(ctx context.Context, store Store, head Head) (*config.Assembly, error) {
	m, err := readManifest(ctx, store, head.Manifest)
	if err != nil {
		return nil, err
	}
	digests := make([]config.Digest, len(m.Entries))
	for i, e := range m.Entries {
		digests[i] = e.Digest
	}
	objects, err := getObjects(ctx, store, digests)
	if err != nil {
		return nil, errors.Trace(err)
	}
	byDigest := make(map[config.Digest][]byte, len(objects))
	for i, d := range digests {
		byDigest[d] = objects[i]
	}
	return config.Join(m, func(e config.Entry) ([]byte, error) { return byDigest[e.Digest], nil })
}

func readManifest(ctx context.Context, store Store, digest config.Digest) (config.Manifest, error) {
	data, err := store.GetObject(ctx, string(digest))
	if err != nil {
		return config.Manifest{}, errors.Trace(err)
	}
	index, err := config.DecodeIndex(data)
	if err != nil {
		return config.Manifest{}, err
	}
	pages, err := getObjects(ctx, store, index.Pages)
	if err != nil {
		return config.Manifest{}, errors.Trace(err)
	}
	return index.Manifest(pages)
}

func readHead(ctx context.Context, store Store) (platform.Row, error) {
	row, err := store.ReadRow(ctx, HeadRow)
	var absent *platform.NotFound
	if errors.As(err, &absent) {
		return platform.Row{}, nil
	}
	return row, err
}

func getObjects(ctx context.Context, store Store, digests []config.Digest) ([][]byte, error) {
	out := make([][]byte, len(digests))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelObjects)
	for i, d := range digests {
		g.Go(func() error {
			data, err := store.GetObject(ctx, string(d))
			out[i] = data
			return err
		})
	}
	return out, g.Wait()
}

func putObjects(ctx context.Context, store Store, objects [][]byte) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelObjects)
	for _, data := range objects {
		g.Go(func() error {
			_, err := store.PutObject(ctx, data)
			return err
		})
	}
	return g.Wait()
}
