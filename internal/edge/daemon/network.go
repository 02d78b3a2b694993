package daemon

import (
	"net"
	"net/http"

	"github.com/banyandeal/banyandeal/internal/edge/egress"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/platform"
)

// Network is how an instance reaches others and is reached.
type Network struct {
	// Listen opens a listener at host:port.
	Listen func(network, address string) (net.Listener, error)
	// Peers opens connections to other instances, Backends those to backend servers.
	Peers    relay.Dialer
	Backends egress.Dialer
	// Store sends the calls to the platform's store.
	Store http.RoundTripper
}

// NewNetwork returns the network of the machine.
func NewNetwork() Network {
	return Network{Listen: net.Listen, Peers: &net.Dialer{}, Backends: &net.Dialer{}, Store: platform.NewStoreTransport()}
}
