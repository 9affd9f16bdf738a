package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/node"
	"github.com/wigeonusher/wigeonusher/node/settings"
	"github.com/wigeonusher/wigeonusher/standin/check"
	"github.com/wigeonusher/wigeonusher/standin/environment"
)

// Fleet manages the instances of a deployment. Its methods identify an instance
// by its index in the deployment.
type Fleet struct {
	logger *logrus.Logger

	mu      sync.Mutex
	members []*member
}

// member is the settings of one instance of the deployment, and the node that was
// last started with them.
type member struct {
	settings settings.Settings // with the addresses that the node listens on
	node     *node.Node
	stop     context.CancelFunc
	done     chan error // receives the result of node.Run
	gone     bool       // killed or stopped
}

// Start starts all instances of the deployment and waits until they are ready
// or the context ends. On an error, it kills those that run.
func Start(ctx context.Context, e *environment.Environment, logger *logrus.Logger) (*Fleet, error) {
	f := &Fleet{logger: logger}
	for index := range e.Deployment.Instances {
		m := &member{settings: SettingsFor(e, index, Ports{})}
		if err := f.launch(m); err != nil {
			f.Close()
			return nil, err
		}
		f.members = append(f.members, m)
	}
	if err := f.awaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// launch starts an instance with the member's settings and stores its addresses
// there, so that a replacement listens on the same ones.
func (f *Fleet) launch(m *member) error {
	instance, err := node.New(m.settings, node.Options{Logger: f.logger})
	if err != nil {
		return eris.Wrap(err, "fleet: start instance")
	}
	addresses := instance.Addresses()
	m.settings.CallerAddress = addresses.Caller
	m.settings.PeerAddress = addresses.Peer
	m.settings.AdminAddress = addresses.Admin
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.Run(ctx) }()
	m.node, m.stop, m.done, m.gone = instance, stop, done, false
	return nil
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, m := range f.members {
		select {
		case <-m.node.Ready():
		case err := <-m.done:
			return eris.Wrapf(err, "fleet: instance %s ended before it was ready", m.settings.Name)
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "fleet: instance %s is not ready", m.settings.Name)
		}
	}
	return nil
}

// Size returns the number of instances in the deployment.
func (f *Fleet) Size() int { return len(f.members) }

// Name returns the name of an instance.
func (f *Fleet) Name(index int) string { return f.members[index].settings.Name }

// CallerAddresses returns the addresses that callers use, by instance index,
// including those of instances that do not run.
func (f *Fleet) CallerAddresses() []string {
	addresses := make([]string, 0, len(f.members))
	for _, m := range f.members {
		addresses = append(addresses, m.settings.CallerAddress)
	}
	return addresses
}

// Kill stops an instance immediately, without draining.
func (f *Fleet) Kill(index int) {
	f.mu.Lock()
	m := f.members[index]
	running, stop := m.node, m.stop
	m.gone = true
	f.mu.Unlock()
	running.Kill()
	stop()
}

// Stop lets an instance drain and stop, and waits until it has ended or the context
// ends.
func (f *Fleet) Stop(ctx context.Context, index int) error {
	f.mu.Lock()
	m := f.members[index]
	stop, done := m.stop, m.done
	f.mu.Unlock()
	stop()
	select {
	case err := <-done:
		f.mu.Lock()
		m.gone = true
		f.mu.Unlock()
		return err
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "fleet: instance %s has not stopped", m.settings.Name)
	}
}

// Replace starts a new instance in place of one that is gone, at the same
// addresses.
func (f *Fleet) Replace(index int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[index]
	if !m.gone {
		return eris.Errorf("fleet: instance %s is still running", m.settings.Name)
	}
	return f.launch(m)
}

// Samples returns the revision of the configuration that each ready instance has
// in force now.
func (f *Fleet) Samples() []check.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var samples []check.Sample
	for _, m := range f.members {
		if m.gone {
			continue
		}
		status := m.node.Status()
		if !status.Ready {
			continue
		}
		samples = append(samples, check.Sample{Instance: string(status.Instance), Time: now, Revision: uint64(status.Revision)})
	}
	return samples
}

// ServingAddresses returns the caller addresses of the instances that are ready
// and not stopping.
func (f *Fleet) ServingAddresses() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	serving := map[string]bool{}
	for _, m := range f.members {
		if m.gone {
			continue
		}
		status := m.node.Status()
		if status.Ready && !status.Stopping {
			serving[m.settings.CallerAddress] = true
		}
	}
	return serving
}

// Close kills all instances and waits up to 5 seconds for each to end.
func (f *Fleet) Close() {
	const endTimeout = 5 * time.Second
	for index, m := range f.members {
		f.Kill(index)
		select {
		case <-m.done:
		case <-time.After(endTimeout):
		}
	}
}
