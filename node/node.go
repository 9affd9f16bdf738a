package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/settings"
	"github.com/wigeonusher/wigeonusher/node/stop"
	"github.com/wigeonusher/wigeonusher/node/tlsconfig"
)

// Options lists the optional settings that an embedding program passes to [New].
type Options struct {
	// Logger receives the node's log messages; nil discards them.
	Logger *logrus.Logger
}

// Addresses lists the addresses that a node listens on.
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

	callerListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener

	callerServer *http.Server
	adminServer  *http.Server
	components   *components

	ready     chan struct{}
	readyOnce sync.Once
	stop      *stop.Stop
	// killed is the context that kill cancels. All actors end when it is cancelled.
	killed context.Context
	kill   context.CancelFunc
}

// New validates the settings, opens the listeners and assembles a node. No
// component runs before [Node.Run].
func New(s settings.Settings, options Options) (*Node, error) {
	if err := s.Check().Err(); err != nil {
		return nil, eris.Wrap(err, "node: settings")
	}
	n := &Node{settings: s, id: newInstanceID(s.Name), ready: make(chan struct{}), stop: stop.New()}
	n.killed, n.kill = context.WithCancel(context.Background())
	n.log = newLogger(options.Logger, n.id, s.Zone)
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

// newInstanceID returns the instance's name with a random suffix, so that each run
// of the instance has its own ID.
func newInstanceID(name string) platform.InstanceID {
	const randomBytes = 6
	suffix := make([]byte, randomBytes)
	_, _ = rand.Read(suffix)
	return platform.InstanceID(name + "-" + hex.EncodeToString(suffix))
}

// newLogger returns a logger that names the instance and its zone. Without a given
// logger, messages are discarded.
func newLogger(logger *logrus.Logger, id platform.InstanceID, zone platform.Zone) *logrus.Entry {
	if logger == nil {
		logger = logrus.New()
		logger.SetLevel(logrus.PanicLevel)
	}
	return logger.WithFields(logrus.Fields{"instance": id, "zone": zone})
}

func (n *Node) listen() error {
	var err error
	if n.callerListener, err = net.Listen("tcp", n.settings.CallerAddress); err != nil {
		return eris.Wrap(err, "node: caller address")
	}
	n.callerListener = netutil.LimitListener(n.callerListener, n.settings.Limits.Connections)
	if n.peerListener, err = net.Listen("tcp", n.settings.PeerAddress); err != nil {
		return eris.Wrap(err, "node: peer address")
	}
	if n.adminListener, err = net.Listen("tcp", n.settings.AdminAddress); err != nil {
		return eris.Wrap(err, "node: admin address")
	}
	return n.enableTLS()
}

// enableTLS wraps the listeners whose settings have a TLS section.
func (n *Node) enableTLS() error {
	if n.settings.CallerTLS != nil {
		config, err := tlsconfig.Server(*n.settings.CallerTLS)
		if err != nil {
			return err
		}
		n.callerListener = tls.NewListener(n.callerListener, config)
	}
	if n.settings.PeerTLS != nil {
		config, err := tlsconfig.Server(*n.settings.PeerTLS)
		if err != nil {
			return err
		}
		n.peerListener = tls.NewListener(n.peerListener, config)
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range []net.Listener{n.callerListener, n.peerListener, n.adminListener} {
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
		Caller: n.callerListener.Addr().String(),
		Peer:   n.peerListener.Addr().String(),
		Admin:  n.adminListener.Addr().String(),
	}
}

// Ready returns a channel that is closed once the node has caught up with the
// control stream, has a policy and knows the endpoint list.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Kill stops the node immediately, without draining.
func (n *Node) Kill() {
	n.kill()
	n.callerServer.Close()
	n.adminServer.Close()
	n.closeListeners()
}
