package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/keys"
	"github.com/wigeonusher/wigeonusher/node/settings"
)

// Options are what an embedding program may give to a node.
type Options struct {
	// Logger takes the node's log; nil discards it.
	Logger *logrus.Logger
}

// Addresses are the addresses that a node listens on.
type Addresses struct {
	Caller string
	Peer   string
	Admin  string
}

// Node is one instance of the system.
type Node struct {
	settings settings.Settings
	id       platform.InstanceID
	log      *logrus.Entry

	callers net.Listener
	peers   net.Listener
	admins  net.Listener

	callerServer *http.Server
	adminServer  *http.Server
	parts        *parts

	ready     chan struct{}
	readyOnce sync.Once
	stopping  atomic.Bool
	// killed ends all work at once.
	killed context.Context
	kill   context.CancelFunc
}

// New checks the settings, opens the listeners and assembles a node. Nothing
// runs before [Node.Run].
func New(s settings.Settings, options Options) (*Node, error) {
	if err := s.Check().Err(); err != nil {
		return nil, eris.Wrap(err, "node: settings")
	}
	n := &Node{settings: s, id: newInstanceID(s.Name), ready: make(chan struct{})}
	n.killed, n.kill = context.WithCancel(context.Background())
	n.log = newLog(options.Logger, n.id, s.Zone)
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	if err := n.assemble(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// newInstanceID returns an ID that no other run has.
func newInstanceID(name string) platform.InstanceID {
	const randomBytes = 6
	suffix := make([]byte, randomBytes)
	_, _ = rand.Read(suffix)
	return platform.InstanceID(name + "-" + hex.EncodeToString(suffix))
}

func newLog(logger *logrus.Logger, id platform.InstanceID, zone platform.Zone) *logrus.Entry {
	if logger == nil {
		logger = logrus.New()
		logger.SetLevel(logrus.PanicLevel)
	}
	return logger.WithFields(logrus.Fields{"instance": id, "zone": zone})
}

func (n *Node) listen() error {
	var err error
	if n.callers, err = net.Listen("tcp", n.settings.CallerAddress); err != nil {
		return eris.Wrap(err, "node: caller address")
	}
	n.callers = netutil.LimitListener(n.callers, n.settings.Limits.Connections)
	if n.peers, err = net.Listen("tcp", n.settings.PeerAddress); err != nil {
		return eris.Wrap(err, "node: peer address")
	}
	if n.admins, err = net.Listen("tcp", n.settings.AdminAddress); err != nil {
		return eris.Wrap(err, "node: admin address")
	}
	return n.secure()
}

// secure puts TLS on the listeners whose settings ask for it.
func (n *Node) secure() error {
	if n.settings.CallerTLS != nil {
		config, err := keys.Server(*n.settings.CallerTLS)
		if err != nil {
			return err
		}
		n.callers = tls.NewListener(n.callers, config)
	}
	if n.settings.PeerTLS != nil {
		config, err := keys.Server(*n.settings.PeerTLS)
		if err != nil {
			return err
		}
		n.peers = tls.NewListener(n.peers, config)
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range []net.Listener{n.callers, n.peers, n.admins} {
		if listener != nil {
			listener.Close()
		}
	}
}

// ID returns the instance's ID.
func (n *Node) ID() platform.InstanceID { return n.id }

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Caller: n.callers.Addr().String(),
		Peer:   n.peers.Addr().String(),
		Admin:  n.admins.Addr().String(),
	}
}

// Ready is closed when the node has caught up with the log, has a
// configuration and knows the endpoints.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Kill stops the node at once, without draining.
func (n *Node) Kill() {
	n.kill()
	n.callerServer.Close()
	n.adminServer.Close()
	n.closeListeners()
}
