package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/outbox"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/admin"
	"github.com/wigeonusher/wigeonusher/node/caller"
	"github.com/wigeonusher/wigeonusher/node/control"
	"github.com/wigeonusher/wigeonusher/node/directory"
	"github.com/wigeonusher/wigeonusher/node/dispatch"
	"github.com/wigeonusher/wigeonusher/node/logwriter"
	"github.com/wigeonusher/wigeonusher/node/settings"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/platformhttp"
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

	platformLog *platformhttp.Log
	control     *control.Control
	directory   *directory.Directory
	bills       *logwriter.Writer
	engines     *engine.Client

	ready     chan struct{}
	readyOnce sync.Once
	stopping  atomic.Bool
	kill      context.CancelFunc
	killed    context.Context
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
	n.assemble()
	return n, nil
}

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
	if n.peers, err = net.Listen("tcp", n.settings.PeerAddress); err != nil {
		return eris.Wrap(err, "node: peer address")
	}
	if n.admins, err = net.Listen("tcp", n.settings.AdminAddress); err != nil {
		return eris.Wrap(err, "node: admin address")
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

func (n *Node) assemble() {
	client := &http.Client{}
	timing := n.settings.Timing
	n.platformLog = platformhttp.NewLog(n.settings.Platform.Log, client)
	n.control = control.New(n.audit)
	n.directory = directory.New(platformhttp.NewInstanceList(n.settings.Platform.Instances, client), millis(timing.ListPollMillis))
	n.engines = engine.NewClient(engine.Config{
		DialTimeout:        time.Second,
		Progress:           millis(timing.ProgressMillis),
		IdleTimeout:        30 * time.Second,
		MaxIdlePerEndpoint: 64,
	})
	n.bills = logwriter.New(n.platformLog, platform.StreamBills, outbox.Config{
		MaxEntries:  n.settings.Limits.HeldBills,
		MaxBytes:    64 << 20,
		MinInterval: millis(timing.BillIntervalMillis),
		RetryBase:   200 * time.Millisecond,
		RetryCap:    5 * time.Second,
	}, nil)
	server := &caller.Server{
		Instance:   n.id,
		Limits:     n.settings.Limits,
		Policies:   n.control,
		Dispatcher: dispatch.New(n.id, n.control, n.directory, n.engines),
		Engines:    n.engines,
		Endpoints:  n.directory,
		Biller:     &biller{instance: n.id, writer: n.bills},
	}
	n.callerServer = &http.Server{
		Handler:           server.Handler(),
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
		ReadHeaderTimeout: 10 * time.Second,
	}
	n.adminServer = &http.Server{Handler: admin.Handler(n.Status), ReadHeaderTimeout: 10 * time.Second}
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

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

// Ready is closed when the node has a configuration and serves callers.
func (n *Node) Ready() <-chan struct{} { return n.ready }

// Kill stops the node at once, without draining.
func (n *Node) Kill() {
	n.kill()
	n.callerServer.Close()
	n.adminServer.Close()
	n.closeListeners()
}

// Status returns what the node tells operators.
func (n *Node) Status() admin.Status {
	status := admin.Status{
		Instance:     n.id,
		Zone:         n.settings.Zone,
		Stopping:     n.stopping.Load(),
		ControlNext:  n.control.Next(),
		BillsHeld:    n.bills.Len(),
		LogAvailable: n.bills.Health(time.Now()).Available,
	}
	if policy := n.control.Policy(); policy != nil {
		status.Ready = true
		status.Revision = uint64(policy.Revision)
	}
	return status
}

func (n *Node) audit(verdict config.Verdict) {
	n.log.WithFields(logrus.Fields{
		"section": verdict.Section, "author": verdict.Author, "result": verdict.Result, "revision": verdict.Revision,
	}).Info("configuration verdict")
}

// Run serves until the context ends, then drains and returns. After [Node.Kill]
// it returns at once.
func (n *Node) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(n.killed)
	defer stopWork()
	var group run.Group
	n.add(&group, work, stopWork, n.tail)
	n.add(&group, work, stopWork, n.directory.Run)
	n.add(&group, work, stopWork, n.bills.Run)
	n.addServer(&group, n.callerServer, n.callers)
	n.addServer(&group, n.adminServer, n.admins)
	group.Add(func() error {
		select {
		case <-ctx.Done():
			n.drain()
		case <-n.killed.Done():
		}
		return nil
	}, func(error) { n.kill() })
	err := group.Run()
	n.closeListeners()
	n.engines.Close()
	return err
}

func (n *Node) add(group *run.Group, ctx context.Context, stop func(), actor func(context.Context) error) {
	group.Add(func() error { return actor(ctx) }, func(error) { stop() })
}

func (n *Node) addServer(group *run.Group, server *http.Server, listener net.Listener) {
	group.Add(func() error {
		err := server.Serve(listener)
		if eris.Is(err, http.ErrServerClosed) {
			<-n.killed.Done()
			return nil
		}
		if n.killed.Err() != nil {
			return nil
		}
		return err
	}, func(error) { server.Close() })
}

// drain is the graceful shutdown: readiness off, serve while the balancer
// lags, finish the requests, settle the bills.
func (n *Node) drain() {
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), millis(n.settings.Timing.DrainMillis))
	defer cancel()
	select {
	case <-time.After(millis(n.settings.Timing.DrainLagMillis)):
	case <-n.killed.Done():
		return
	}
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("requests cut off by the end of the drain period")
	}
	if err := n.bills.Flush(ctx); err != nil {
		n.log.WithField("bills", n.bills.Len()).Error("bills not settled at the end of the drain period")
	}
}

// tail follows the control stream.
func (n *Node) tail(ctx context.Context) error {
	const (
		pageLimit = 256
		wait      = 2 * time.Second
		pause     = 200 * time.Millisecond
	)
	log := n.platformLog.Waiting(wait)
	for ctx.Err() == nil {
		page, err := log.Read(ctx, platform.StreamControl, n.control.Next(), pageLimit)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			continue
		}
		n.control.Apply(page.Records)
		if n.control.Policy() != nil && page.Next >= page.End {
			n.readyOnce.Do(func() { close(n.ready) })
		}
	}
	return nil
}
