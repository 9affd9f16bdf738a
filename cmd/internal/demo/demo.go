package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/cmd/internal/control"
	"github.com/wigeonusher/wigeonusher/cmd/internal/fleet"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/check"
	"github.com/wigeonusher/wigeonusher/standin/environment"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
	"github.com/wigeonusher/wigeonusher/standin/load"
)

// Durations of a demonstration. The traffic lasts from MinDuration to
// MaxDuration.
const (
	DefaultDuration = 20 * time.Second
	MinDuration     = 10 * time.Second
	MaxDuration     = 25 * time.Second

	// totalTimeout bounds the demonstration from the start of the fleet to the
	// table of invariants.
	totalTimeout = 43 * time.Second
	startTimeout = 8 * time.Second
	settleGrace  = 5 * time.Second
)

// Config configures a demonstration.
type Config struct {
	Deployment string
	Seed       uint64
	// Duration is how long traffic is sent, limited to the range from
	// [MinDuration] to [MaxDuration].
	Duration time.Duration
	// Progress receives one line per second and one per event.
	Progress io.Writer
}

// Result is the result of a demonstration.
type Result struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Passed reports whether every invariant held and no step failed.
	Passed bool         `json:"held"`
	Load   *load.Report `json:"load"`
	Table  *check.Table `json:"table"`
	// AutomaticEvents are the audited actions that instances took without an
	// operator's proposal.
	AutomaticEvents []control.Event `json:"moves"`
	// Failures describes the steps of the script that failed.
	Failures []string `json:"failures,omitempty"`
}

// demonstration is the state of one run.
type demonstration struct {
	config           Config
	env              *environment.Environment
	fleet            *fleet.Fleet
	progress         *progress
	operator         *operator
	sampler          revisionSampler
	crashes          crashMonitor
	stoppedAddresses []string // caller addresses of instances stopped as planned
	failures         []string
}

// Run runs a demonstration: it starts the fleet, sends traffic while the script
// runs, and checks the invariants.
func Run(ctx context.Context, config Config) (*Result, error) {
	deployment := fixture.ByName(config.Deployment)
	if deployment == nil {
		return nil, eris.Errorf("demo: unknown deployment %q", config.Deployment)
	}
	config.Duration = min(max(config.Duration, MinDuration), MaxDuration)
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	started := time.Now()
	d := &demonstration{config: config, progress: newProgress(config.Progress)}
	if err := d.start(ctx, deployment); err != nil {
		return nil, err
	}
	defer d.stop()
	report, err := d.runTraffic(ctx)
	if err != nil {
		return nil, err
	}
	d.awaitBills(ctx, report)
	table := check.Evaluate(d.history(report))
	automaticEvents, err := d.operator.automaticEvents(ctx)
	if err != nil {
		return nil, err
	}
	return &Result{
		Deployment:      config.Deployment,
		Seed:            config.Seed,
		Seconds:         time.Since(started).Seconds(),
		Passed:          table.Passed && len(d.failures) == 0,
		Load:            report,
		Table:           table,
		AutomaticEvents: automaticEvents,
		Failures:        d.failures,
	}, nil
}

func (d *demonstration) start(ctx context.Context, deployment *fixture.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	env, err := environment.Start(deployment, d.config.Seed)
	if err != nil {
		return err
	}
	d.env = env
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	if d.fleet, err = fleet.Start(ctx, env, logger); err != nil {
		_ = env.Close()
		return err
	}
	d.operator = newOperator(env.Log.URL())
	d.progress.writeEvent(fmt.Sprintf("%s: %d zones, %d instances, %d engines, %d desks run",
		deployment.Name, len(deployment.Zones), d.fleet.Size(), len(env.Engines()), len(env.Desks())))
	return nil
}

func (d *demonstration) stop() {
	d.fleet.Close()
	_ = d.env.Close()
}

// runTraffic sends the traffic and runs the script at the same time. It returns
// when both have ended, or at once if the traffic fails.
func (d *demonstration) runTraffic(ctx context.Context) (*load.Report, error) {
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	balancer := newBalancerView(d.fleet)
	d.sampler.start(watchCtx, d.fleet)
	d.crashes.start(watchCtx, d)
	balancer.start(watchCtx)
	d.progress.start(watchCtx)
	scriptDone := make(chan struct{})
	go func() {
		defer close(scriptDone)
		d.runScript(watchCtx, script())
	}()
	report, err := load.Run(ctx, d.loadMix(), load.Options{OnObservation: d.progress.recordObservation, Ready: balancer.isReady})
	if err == nil {
		<-scriptDone
	}
	return report, err
}

func (d *demonstration) loadMix() load.Mix {
	mix := load.MixFor(d.env.Deployment)
	mix.Seed = d.config.Seed
	mix.CallerAddresses = d.fleet.CallerAddresses()
	mix.MaxSeconds = int(d.config.Duration.Seconds())
	mix.Marked = &load.Marked{Text: crashMarker, Every: markedEvery, Count: markedCount}
	return mix
}

// awaitBills waits until each answered chat request has its bill in the log, at
// most for settleGrace.
func (d *demonstration) awaitBills(ctx context.Context, report *load.Report) {
	const pollInterval = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, settleGrace)
	defer cancel()
	for check.Unbilled(d.history(report)) > 0 {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (d *demonstration) history(report *load.Report) check.History {
	crashed, marked := d.crashes.counts(report)
	history := d.env.History()
	history.Observations = report.Observations
	history.StrongVersion = document.Ref{Model: fixture.Strong, Version: fixture.V1}
	history.SettleGrace = settleGrace
	history.ExposureLimit = d.env.Deployment.Rollouts[badRollout].Budget
	history.CrashedEndpoints = crashed
	history.MarkedRequests = marked
	history.Samples = d.sampler.all()
	history.StoppedAddresses = d.stoppedAddresses
	return history
}
