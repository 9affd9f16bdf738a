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

// Fleet is the running instances of a deployment.
type Fleet struct {
	logger *logrus.Logger

	mu      sync.Mutex
	members []*member
}

// member is one place of the fleet and the instance that runs there.
type member struct {
	settings settings.Settings // with the addresses in use
	node     *node.Node
	stop     context.CancelFunc
	done     chan error // the result of the instance's run
	gone     bool
}

// Start starts all instances of the deployment and waits until they are ready
// or the context ends. On an error, those that run are killed.
func Start(ctx context.Context, e *environment.Environment, logger *logrus.Logger) (*Fleet, error) {
	f := &Fleet{logger: logger}
	for number := range e.Deployment.Instances {
		added := &member{settings: SettingsFor(e, number, Ports{})}
		if err := f.launch(added); err != nil {
			f.Close()
			return nil, err
		}
		f.members = append(f.members, added)
	}
	if err := f.awaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// launch starts an instance at the member's place and keeps its addresses.
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
			return eris.Wrapf(err, "fleet: instance %s ended", m.settings.Name)
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "fleet: instance %s is not ready", m.settings.Name)
		}
	}
	return nil
}

// Size returns the number of places.
func (f *Fleet) Size() int { return len(f.members) }

// Name returns the name of a place.
func (f *Fleet) Name(number int) string { return f.members[number].settings.Name }

// Callers returns the callers' addresses of all places.
func (f *Fleet) Callers() []string {
	addresses := make([]string, 0, len(f.members))
	for _, m := range f.members {
		addresses = append(addresses, m.settings.CallerAddress)
	}
	return addresses
}

// Kill stops the instance at a place at once, without draining.
func (f *Fleet) Kill(number int) {
	f.mu.Lock()
	m := f.members[number]
	running, stop := m.node, m.stop
	m.gone = true
	f.mu.Unlock()
	running.Kill()
	stop()
}

// Stop stops the instance at a place in the planned way and waits for its end.
func (f *Fleet) Stop(ctx context.Context, number int) error {
	f.mu.Lock()
	m := f.members[number]
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

// Replace starts a new instance at a place whose instance is gone, at the same
// addresses.
func (f *Fleet) Replace(number int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[number]
	if !m.gone {
		return eris.Errorf("fleet: instance %s still runs", m.settings.Name)
	}
	return f.launch(m)
}

// Samples returns the revision that each running and ready instance has now.
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

// Serving returns the callers' addresses of the instances that are ready and
// not stopping.
func (f *Fleet) Serving() map[string]bool {
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

// Close kills all instances and waits for their end.
func (f *Fleet) Close() {
	const patience = 5 * time.Second
	for number, m := range f.members {
		f.Kill(number)
		select {
		case <-m.done:
		case <-time.After(patience):
		}
	}
}
