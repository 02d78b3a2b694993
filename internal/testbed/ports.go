package testbed

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// The ports of backend servers are moved up by multiples of portStep to at
// most maxPort, which is below those that systems give out by themselves.
const (
	portStep = 400
	maxPort  = 32_000
)

const loopbackHost = "127.0.0.1:"

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

// movePorts moves the loopback ports of the estate that is declared in dir to
// free ones, so that several demos can run at once, and loads it.
func movePorts(dir string) (*estate.Estate, error) {
	e, err := config.Load(dir)
	if err != nil {
		return nil, errors.Trace(err)
	}
	by, err := freeShift(e)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := eachFile(dir, func(data []byte) []byte { return shiftPorts(data, by) }); err != nil {
		return nil, errors.Trace(err)
	}
	return config.Load(dir)
}

// freeShift returns by how much the ports have to be moved to be free. Demos
// that start at the same moment begin to search at different places.
func freeShift(e *estate.Estate) (int, error) {
	var ports []int
	highest := 0
	for _, s := range e.Services {
		for _, b := range s.Backends {
			_, text, err := net.SplitHostPort(b.Address)
			if err != nil {
				return 0, errors.Trace(err)
			}
			port, err := strconv.Atoi(text)
			if err != nil {
				return 0, errors.Trace(err)
			}
			ports = append(ports, port)
			highest = max(highest, port)
		}
	}
	places := max((maxPort-highest)/portStep, 1)
	for i := range places {
		by := (os.Getpid() + i) % places * portStep
		if allFree(ports, by) {
			return by, nil
		}
	}
	return 0, errors.New("no free ports for the backend servers; end what holds them")
}

func allFree(ports []int, by int) bool {
	for _, p := range ports {
		ln, err := net.Listen("tcp", loopbackHost+strconv.Itoa(p+by))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// eachFile rewrites the files of a declared estate.
func eachFile(dir string, rewrite func([]byte) []byte) error {
	for _, pattern := range []string{"*.yaml", "overlays/*.yaml"} {
		files, err := filepath.Glob(filepath.Join(dir, pattern))
		if err != nil {
			return errors.Trace(err)
		}
		for _, f := range files {
			data, err := os.ReadFile(f)
			if err != nil {
				return errors.Trace(err)
			}
			if err := os.WriteFile(f, rewrite(data), 0o644); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func shiftPorts(data []byte, by int) []byte {
	return loopbackAddress.ReplaceAllFunc(data, func(addr []byte) []byte {
		port, err := strconv.Atoi(string(addr[len(loopbackHost):]))
		if err != nil {
			return addr
		}
		return []byte(loopbackHost + strconv.Itoa(port+by))
	})
}

var serviceTime = regexp.MustCompile(`\b(mean_time|hedge_after): (\d+)ms`)

// slowDown multiplies the mean and hedge times of services.
func slowDown(data []byte, by int) []byte {
	return serviceTime.ReplaceAllFunc(data, func(setting []byte) []byte {
		m := serviceTime.FindSubmatch(setting)
		ms, err := strconv.Atoi(string(m[2]))
		if err != nil {
			return setting
		}
		return fmt.Appendf(nil, "%s: %dms", m[1], ms*by)
	})
}
