package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/faults"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
)

// Indices of the instances and desks that the script acts on.
const (
	killedInstance  = 4
	stoppedInstance = 7
	silentDesk      = 0
	frozenDesk      = 1
)

// IDs of the engines that the script acts on.
const (
	silentEngine  platform.EndpointID = "small-01"
	drainedEngine platform.EndpointID = "large-02"
)

// badRollout is the roll-out whose candidate degrades during the run.
const badRollout = fixture.RolloutCheap

const (
	// An engine crashes when it receives a prompt with crashMarker. The load
	// generator marks markedCount requests, markedEvery requests apart.
	crashMarker     = "CRASH-THIS-ENDPOINT"
	markedEvery     = 700
	markedCount     = 1
	badAnswerShare  = 0.9
	lostAnswerShare = 0.2
)

// step is one change or fault of the script.
type step struct {
	// fraction is the time of the step as a share of the traffic's duration.
	fraction float64
	name     string
	run      func(d *demonstration, ctx context.Context) error
}

// script returns the steps in order of time.
func script() []step {
	return []step{
		{0.05, "roll-outs of cheap@v2 and strong@v2 begin", (*demonstration).beginRollouts},
		{0.10, "desks lose one answer in five after taking effect", (*demonstration).loseAnswers},
		{0.20, "desks answer again", (*demonstration).clearDeskFaults},
		{0.22, "the open connections of an engine and of a desk go silent for good", (*demonstration).silenceConnections},
		{0.25, "cheap@v2 turns bad on every engine", (*demonstration).degradeVersion},
		{0.35, "one instance is killed", (*demonstration).killInstance},
		{0.38, "one desk freezes", (*demonstration).freezeDesk},
		{0.43, "the frozen desk goes on where it was", (*demonstration).clearDeskFaults},
		{0.45, "the log service goes down", (*demonstration).stopLog},
		{0.57, "the log service is back", (*demonstration).restoreLog},
		{0.60, "the killed instance is replaced", (*demonstration).replaceInstance},
		{0.62, "an operator withdraws cheap@v2", (*demonstration).withdrawVersion},
		{0.70, "one engine leaves", (*demonstration).drainEngine},
		{0.72, "one instance is stopped in the planned way", (*demonstration).stopInstance},
	}
}

// runScript runs each step at its time and records the steps that fail.
func (d *demonstration) runScript(ctx context.Context, steps []step) {
	started := time.Now()
	for _, s := range steps {
		due := time.Duration(s.fraction * float64(d.config.Duration))
		select {
		case <-time.After(time.Until(started.Add(due))):
		case <-ctx.Done():
			return
		}
		d.progress.writeEvent(s.name)
		if err := s.run(d, ctx); err != nil && ctx.Err() == nil {
			d.failures = append(d.failures, fmt.Sprintf("%s: %v", s.name, err))
			d.progress.writeEvent(fmt.Sprintf("FAILED: %s: %v", s.name, err))
		}
	}
}

func (d *demonstration) beginRollouts(ctx context.Context) error {
	rollouts := map[document.RolloutID]document.Rollout{}
	for id, rollout := range d.env.Deployment.Rollouts {
		rollout.State = document.RolloutRunning
		rollouts[id] = rollout
	}
	return d.operator.publish(ctx, document.SectionRollouts, rollouts, "begin the roll-outs")
}

// degradeVersion makes the candidate of badRollout answer badly on every engine.
func (d *demonstration) degradeVersion(context.Context) error {
	ref := document.Ref{Model: fixture.Cheap, Version: fixture.V2}.String()
	d.crashes.setFaults(d.env, faults.Set{
		CrashMarker: crashMarker,
		BadVersions: map[string]float64{ref: badAnswerShare},
	})
	return nil
}

func (d *demonstration) killInstance(context.Context) error {
	d.fleet.Kill(killedInstance)
	return nil
}

func (d *demonstration) replaceInstance(context.Context) error {
	return d.fleet.Replace(killedInstance)
}

func (d *demonstration) stopLog(context.Context) error {
	d.env.Log.Faults.Set(faults.Set{Down: true})
	return nil
}

func (d *demonstration) restoreLog(context.Context) error {
	d.env.Log.Faults.Set(faults.Set{})
	return nil
}

func (d *demonstration) withdrawVersion(ctx context.Context) error {
	models := map[document.ModelName]document.Model{}
	for name, model := range d.env.Deployment.Models {
		versions := map[document.VersionName]document.Version{}
		for versionName, version := range model.Versions {
			if name == fixture.Cheap && versionName == fixture.V2 {
				version.State = document.VersionWithdrawn
			}
			versions[versionName] = version
		}
		models[name] = document.Model{Stable: model.Stable, Versions: versions}
	}
	return d.operator.publish(ctx, document.SectionModels, models, "cheap@v2 answers badly")
}

func (d *demonstration) drainEngine(context.Context) error {
	server := d.engine(drainedEngine)
	if server == nil {
		return eris.Errorf("demo: engine %s not found", drainedEngine)
	}
	server.Drain()
	return nil
}

// engine returns an engine by its ID, or nil.
func (d *demonstration) engine(id platform.EndpointID) *engine.Server {
	for _, server := range d.env.Engines() {
		if server.ID() == id {
			return server
		}
	}
	return nil
}

func (d *demonstration) loseAnswers(context.Context) error {
	for _, desk := range d.env.Desks() {
		desk.Faults.Set(faults.Set{LoseRate: lostAnswerShare})
	}
	return nil
}

// clearDeskFaults clears the faults of all desks; calls that a frozen desk held
// continue.
func (d *demonstration) clearDeskFaults(context.Context) error {
	for _, desk := range d.env.Desks() {
		desk.Faults.Set(faults.Set{})
	}
	return nil
}

func (d *demonstration) freezeDesk(context.Context) error {
	d.env.Desks()[frozenDesk].Faults.Set(faults.Set{Frozen: true})
	return nil
}

// silenceConnections makes the open connections of a desk and of an engine
// unresponsive. They stay so when the faults are cleared.
func (d *demonstration) silenceConnections(context.Context) error {
	d.env.Desks()[silentDesk].Faults.Set(faults.Set{Silent: true})
	if server := d.engine(silentEngine); server != nil {
		set := server.Faults.Get()
		set.Silent = true
		server.Faults.Set(set)
	}
	return nil
}

func (d *demonstration) stopInstance(ctx context.Context) error {
	d.stoppedAddresses = append(d.stoppedAddresses, d.fleet.CallerAddresses()[stoppedInstance])
	return d.fleet.Stop(ctx, stoppedInstance)
}
