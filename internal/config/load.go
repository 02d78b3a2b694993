// Package config reads the declared estate from a directory, compares,
// encodes and edits it, and splits it into content-addressed parts.
//
// The directory holds base.yaml for the whole estate, overlays/<site>.yaml
// with what differs at one site, and optionally blocks.yaml or blocks.csv with
// the blocks of client addresses. docs/CONFIG.md describes every field. Faults
// are of type *Error, several of them together of type Errors; nothing is
// returned beside a fault.
package config

import (
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// Names of the files in the directory.
const (
	baseFile       = "base.yaml"
	overlayDir     = "overlays"
	blocksYAMLFile = "blocks.yaml"
	blocksCSVFile  = "blocks.csv"
)

// maxFileSize is the largest file that is read, in bytes.
const maxFileSize = 256 << 20

func overlayFile(site string) string { return overlayDir + "/" + site + ".yaml" }

// Files is the text of a configuration by path relative to its directory, with
// slashes.
type Files map[string][]byte

// Load reads, merges and checks the configuration in a directory. The version
// and all times of the estate are zero.
func Load(dir string) (*estate.Estate, error) {
	files, err := ReadFiles(dir)
	if err != nil {
		return nil, err
	}
	return Parse(files)
}

// ReadFiles reads the files of a configuration without looking into them.
func ReadFiles(dir string) (Files, error) {
	files := Files{}
	fsys := os.DirFS(dir)
	var faults Errors
	read := func(name string, required bool) {
		data, err := readFile(fsys, name)
		switch {
		case err == nil:
			files[name] = data
		case required || !errors.Is(err, fs.ErrNotExist):
			faults = append(faults, unreadable(name, err))
		}
	}
	read(baseFile, true)
	read(blocksYAMLFile, false)
	read(blocksCSVFile, false)
	entries, err := fs.ReadDir(fsys, overlayDir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		faults = append(faults, unreadable(overlayDir, err))
	}
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), ".") {
			read(path.Join(overlayDir, e.Name()), true)
		}
	}
	return files, faults.orNil()
}

func readFile(fsys fs.FS, name string) ([]byte, error) {
	info, err := fs.Stat(fsys, name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileSize {
		return nil, errors.Errorf("not a regular file of at most %d bytes", maxFileSize)
	}
	return fs.ReadFile(fsys, name)
}

func unreadable(name string, err error) *Error {
	var pe *fs.PathError
	if errors.As(err, &pe) {
		err = pe.Err // the directory is the caller's and not part of the message
	}
	return &Error{Kind: KindUnreadable, File: name, Message: err.Error(), Remedy: "create the file or correct the directory and its permissions"}
}

// Parse merges and checks a configuration that has been read.
func Parse(files Files) (*estate.Estate, error) {
	c := &collector{places: map[string]place{}}
	d := c.decodeFiles(files)
	if len(c.faults) > 0 {
		return nil, c.faults.orNil()
	}
	e := d.merge(c)
	c.validate(e, d)
	if err := c.faults.orNil(); err != nil {
		return nil, err
	}
	return e, nil
}

// declared is everything that the files state, before the merge.
type declared struct {
	base     base
	overlays []overlay
	blocks   []block
}

func (c *collector) decodeFiles(files Files) *declared {
	d := &declared{}
	if data, ok := files[baseFile]; ok {
		d.base, _ = c.decodeBase(data)
	} else {
		c.faults = append(c.faults, unreadable(baseFile, fs.ErrNotExist))
	}
	for _, name := range sortedNames(files) {
		if !strings.HasPrefix(name, overlayDir+"/") {
			continue
		}
		if !strings.HasSuffix(name, ".yaml") {
			c.fault(KindUnreadable, place{file: name}, "name it <site>.yaml or remove it", "the file is no overlay")
			continue
		}
		if o, ok := c.decodeOverlay(name, files[name]); ok {
			d.overlays = append(d.overlays, o)
		}
	}
	d.blocks = c.decodeBlocks(files)
	return d
}

func sortedNames(files Files) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
