// Package versions decides which endpoint versions of a service may run a
// request, and advances roll-outs through proposals to the log.
package versions

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/keyed"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/canary"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

const (
	// maxRequestDuration is the assumed maximum duration of a request. It is added to the gap
	// between the requests of a session, because the gap starts at the end of a
	// request and a session is last seen at the start of one.
	maxRequestDuration = time.Minute
	// maxSuperseded bounds the remembered orders of one service.
	maxSuperseded = 16
	// maxSessions bounds the remembered sessions of one service.
	maxSessions = 20_000
	// proposeSpread is the time over which the instances spread a proposal, so
	// that one of them is first and the others need not write.
	proposeSpread = 400 * time.Millisecond
	// completionSpread is the same for a completion, which is decided shortly before the end of the
	// order's time.
	completionSpread = 200 * time.Millisecond
	// checkInterval is the interval at which the roll-outs are checked, and activeCheckInterval that
	// while one is under way. Three checks pass from the move of all requests to the write of the
	// completion; at 200 ms each, good versions were completed 10 ms after the order's time.
	checkInterval       = 200 * time.Millisecond
	activeCheckInterval = 50 * time.Millisecond
)

// Writer appends to the status topic of roll-outs.
type Writer interface {
	// Propose appends a status if the status topic still ends at the position, and
	// returns an error otherwise.
	Propose(ctx context.Context, at keyed.Position, status canary.Status) error
}

// SessionLookup looks up sessions at the peers.
type SessionLookup interface {
	// AskSession reports whether a session runs on the target version of a
	// roll-out. known is false if no peer knows the session.
	AskSession(ctx context.Context, service, target, session string) (onTarget, known bool)
}

// Config lists the dependencies of [Versions].
type Config struct {
	// Zone is that of this instance.
	Zone     string
	Pools    relay.Pools
	Writer   Writer
	Sessions SessionLookup
	Logger   *logrus.Entry
	// Now reads a clock that includes system suspends; nil selects [boottime.Now].
	Now func() time.Duration
}

// Versions holds the roll-outs of all services. Its methods are safe for
// concurrent use.
type Versions struct {
	// zone is that of this instance.
	zone   string
	tuning Tuning
	writer Writer
	pools  relay.Pools
	peers  SessionLookup
	now    func() time.Duration
	log    *logrus.Entry

	mu       sync.Mutex
	services map[route.ServiceName]*service
	// topicEnd is the position at which the status topic ended when it was last
	// read.
	topicEnd keyed.Position
	// statuses holds the last status of each service in the topic.
	statuses map[route.ServiceName]canary.Status
	// fleetSize is the number of live instances.
	fleetSize int
}

// Tuning bounds roll-outs.
type Tuning = canary.Tuning

// service holds the roll-out and the recent sessions of one service.
type service struct {
	rollout *canary.Rollout
	// superseded holds the orders before the current one, the latest ones last.
	superseded []canary.Order
	sessions   *simplelru.LRU[string, sessionState]
	// incumbent is the target of the last completed roll-out, empty if none is known.
	// The endpoints of the versions before it stop, or have stopped.
	incumbent string
	// bad holds the versions that were rolled back. Their endpoints may still run
	// when the next roll-out is ordered. The map is replaced, never modified,
	// because choices refer to it.
	bad map[string]bool
	// usual are the usual times of the versions that are not being rolled out.
	usual usualTimes
	// proposeAt is when this instance makes the proposal.
	proposeAt time.Duration
	proposal  phaseProposal
}

// phaseProposal is a phase that an instance proposes. isLost reports that the phase was
// agreed before and lost from the log.
type phaseProposal struct {
	phase  canary.Phase
	isLost bool
}

type sessionState struct {
	// target is the candidate version to which the session's last request was
	// assigned; empty if the request was assigned to the incumbent.
	target   string
	lastSeen time.Duration
}

// New returns a Versions without roll-outs.
func New(tuning Tuning, config Config) *Versions {
	if config.Now == nil {
		config.Now = func() time.Duration { return time.Duration(boottime.Now()) }
	}
	return &Versions{
		zone:     config.Zone,
		now:      config.Now,
		tuning:   tuning,
		writer:   config.Writer,
		pools:    config.Pools,
		peers:    config.Sessions,
		log:      config.Logger,
		services: make(map[route.ServiceName]*service),
		statuses: make(map[route.ServiceName]canary.Status),
	}
}

// SetTuning sets the bounds of roll-outs that are ordered later. The session gap
// also applies at once to the sessions that are already known.
func (v *Versions) SetTuning(tuning Tuning) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tuning = tuning
}

func (v *Versions) service(name route.ServiceName) *service {
	found := v.services[name]
	if found == nil {
		sessions, err := simplelru.NewLRU[string, sessionState](maxSessions, nil)
		if err != nil {
			panic(eris.Wrap(err, "versions: create the session cache"))
		}
		found = &service{sessions: sessions, bad: make(map[string]bool), usual: make(usualTimes)}
		v.services[name] = found
	}
	return found
}

// SetFleetSize sets the number of live instances.
func (v *Versions) SetFleetSize(live int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleetSize = live
	for _, s := range v.services {
		if s.rollout != nil {
			s.rollout.SetFleetSize(live)
		}
	}
}

// Order starts a roll-out that the operator has ordered. The order that is already
// in force has no effect.
func (v *Versions) Order(order canary.Order) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(order.Service)
	if s.rollout != nil {
		if s.rollout.Order == order {
			return
		}
		s.superseded = append(s.superseded, s.rollout.Order)
		s.superseded = s.superseded[max(0, len(s.superseded)-maxSuperseded):]
	}
	s.setBad(order.Target, false) // the operator may have fixed the version
	s.rollout = canary.New(order, v.tuning, v.now())
	s.rollout.SetFleetSize(v.fleetSize)
	if status, ok := v.statuses[order.Service]; ok {
		s.rollout.ApplyStatus(status)
		s.recordRollback()
	}
	v.log.WithFields(logrus.Fields{
		"service": order.Service, "target": order.Target, "duration_s": order.Duration.Seconds(), "phase": s.rollout.Phase.String(),
	}).Info("roll-out ordered")
}

// RestoredOrder is [Versions.Order] for an order from a log that was restored from an
// older copy. It ignores an order that a later one has replaced: the operator writes the
// later one again.
func (v *Versions) RestoredOrder(order canary.Order) {
	v.mu.Lock()
	isSuperseded := slices.Contains(v.service(order.Service).superseded, order)
	v.mu.Unlock()
	if isSuperseded {
		v.log.WithFields(logrus.Fields{"service": order.Service, "target": order.Target}).Info("roll-out order ignored: a later one has replaced it")
		return
	}
	v.Order(order)
}

// LoadStatuses is [Versions.ApplyStatuses] for all statuses of the topic.
func (v *Versions) LoadStatuses(end keyed.Position, statuses ...canary.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.statuses)
	v.applyStatuses(end, statuses)
}

// ApplyStatuses applies statuses read from the status topic. end is the position at
// which the topic ends.
func (v *Versions) ApplyStatuses(end keyed.Position, statuses ...canary.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyStatuses(end, statuses)
}

func (v *Versions) applyStatuses(end keyed.Position, statuses []canary.Status) {
	v.topicEnd = end
	for _, status := range statuses {
		v.statuses[status.Service] = status
		s := v.service(status.Service)
		if status.Phase == canary.Completed {
			s.incumbent = status.Target
		}
		if s.rollout == nil {
			continue
		}
		before := s.rollout.Phase
		s.rollout.ApplyStatus(status)
		s.recordRollback()
		if before != s.rollout.Phase {
			answers, paces, sends, total := s.rollout.TotalEvidence().Answers, s.rollout.TotalEvidence().Paces, s.rollout.LocalSends(), s.rollout.TotalSends()
			v.log.WithFields(logrus.Fields{
				"service": status.Service, "target": status.Target, "phase": s.rollout.Phase.String(),
				"answers": answers.Candidate(), "bad": answers.CandidateBad,
				"incumbent_answers": answers.Incumbent(), "incumbent_bad": answers.IncumbentBad,
				"paced": paces.Candidate(), "slow": paces.CandidateBad,
				"incumbent_paced": paces.Incumbent(), "incumbent_slow": paces.IncumbentBad,
				"slowness": s.rollout.TotalEvidence().Slowness, "slowness_log_e": s.rollout.SlownessLogE(),
				"failure_log_e": s.rollout.FailureLogE(), "pace_log_e": s.rollout.PaceLogE(), "route_log_e": s.rollout.RouteLogE(),
				"arrived": sends.Arrived, "exposed": sends.Exposed, "known_arrived": total.Arrived, "known_exposed": total.Exposed,
			}).Info("roll-out phase agreed")
		}
	}
}

// Choose implements [relay.Versions].
func (v *Versions) Choose(ctx context.Context, name route.ServiceName, session, requestID string) relay.Choice {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(name)
	current := s.rollout
	state := sessionState{lastSeen: v.now()}
	if current != nil && v.onTarget(ctx, s, current, session, requestID) {
		state.target = current.Order.Target
	}
	if session != "" {
		s.sessions.Add(session, state)
	}
	if current == nil {
		return relay.Choice{}
	}
	choice := s.choice(current, state.target != "", v.mayFallBack(name, s))
	if current.Phase == canary.Canary {
		choice.Concentration = &pool.Concentration{Version: current.Order.Target, Share: current.UsedShare(), Turn: current.Turn(v.now())}
	}
	return choice
}

// mayFallBack reports whether requests that are assigned to the incumbent may run on the target
// if no endpoint of the incumbent has room for them.
func (v *Versions) mayFallBack(name route.ServiceName, s *service) bool {
	switch s.rollout.Phase {
	case canary.Canary, canary.Full:
		return s.rollout.MayExpose() || !v.hasIncumbent(name, s)
	default:
		return false
	}
}

// hasIncumbent reports whether an endpoint of a version other than the target is listed that was
// not rolled back.
func (v *Versions) hasIncumbent(name route.ServiceName, s *service) bool {
	return slices.ContainsFunc(v.pools.Service(name).Versions(), func(version string) bool {
		return version != s.rollout.Order.Target && !s.bad[version]
	})
}

// recordRollback marks the target version as bad if it was rolled back.
func (s *service) recordRollback() {
	if s.rollout.Phase == canary.RolledBack {
		s.setBad(s.rollout.Order.Target, true)
	}
}

func (s *service) setBad(version string, bad bool) {
	if s.bad[version] == bad {
		return
	}
	s.bad = maps.Clone(s.bad)
	s.bad[version] = bad
}

// choice returns the versions for a request on one side of the roll-out. Versions
// known to be bad belong to neither side. A request on the incumbent side may fall back to
// the candidate only if mayFallBack is set. If the incumbent is known, all versions but it and
// the target are superseded: they are used only if there is no other.
func (s *service) choice(current *canary.Rollout, onTarget, mayFallBack bool) relay.Choice {
	target, incumbent, bad := current.Order.Target, s.incumbent, s.bad
	onSide := func(version string) bool { return (version == target) == onTarget && !bad[version] }
	superseded := func(version string) bool { return incumbent != "" && version != incumbent && version != target }
	choice := relay.Choice{
		Assigned: func(version string) bool { return onSide(version) && !superseded(version) },
		Allowed:  func(version string) bool { return !bad[version] },
		Keeps:    func(version string) bool { return !superseded(version) },
	}
	if onTarget && current.Phase.MovesAll() {
		choice.Keeps = choice.Assigned
	}
	if !onTarget && !mayFallBack {
		choice.Allowed = onSide
	}
	return choice
}

// onTarget reports whether a request runs on the candidate version. It releases
// the lock while it asks the peers.
func (v *Versions) onTarget(ctx context.Context, s *service, current *canary.Rollout, session, requestID string) bool {
	switch current.Phase {
	case canary.Full:
		return current.MayExpose() || session != "" && v.runsOnTarget(ctx, s, current, session, false)
	case canary.Completed:
		return true
	case canary.Canary:
	default:
		return false
	}
	if session == "" {
		return current.IsInCanary(requestID) && current.MayExpose()
	}
	if onTarget, known := v.sessionSide(s, current.Order.Target, session); known {
		return onTarget
	}
	return current.IsInCanary(session) && v.runsOnTarget(ctx, s, current, session, true)
}

// runsOnTarget reports whether a session runs on the target version, as far as this instance and
// its peers know. A session that none of them knows is new, and runs there if newOnTarget is set
// and the exposure allows it.
func (v *Versions) runsOnTarget(ctx context.Context, s *service, current *canary.Rollout, session string, newOnTarget bool) bool {
	order := current.Order
	if onTarget, known := v.sessionSide(s, order.Target, session); known {
		return onTarget
	}
	v.mu.Unlock()
	onTarget, known := v.peers.AskSession(ctx, string(order.Service), order.Target, session)
	v.mu.Lock()
	if known {
		return onTarget
	}
	return newOnTarget && current.MayExpose()
}

// sessionSide reports whether a session runs on the target version of a roll-out.
// known is false if this instance does not know the session, or has not seen it for
// so long that the session must have ended.
func (v *Versions) sessionSide(s *service, target, session string) (onTarget, known bool) {
	state, ok := s.sessions.Get(session)
	if !ok || v.now()-state.lastSeen >= v.tuning.SessionGap+maxRequestDuration {
		return false, false
	}
	return state.target == target, true
}

// Observe implements [relay.Versions].
func (v *Versions) Observe(name route.ServiceName, version string, outcome relay.VersionOutcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(name)
	slowness := s.usual.slowness(outcome)
	if outcome.Model == "" && s.rollout != nil && version == s.rollout.Order.Target {
		slowness /= farTolerance
	}
	if s.rollout == nil || version != s.rollout.Order.Target || s.rollout.Phase == canary.Completed {
		s.usual.learn(outcome)
	}
	if s.rollout == nil || s.rollout.Phase.IsFinal() {
		return
	}
	s.rollout.Observe(canary.Answer{
		Version: version, Route: outcome.Route, Failed: outcome.Failed, FirstEvent: outcome.FirstEvent, UsualFirstEvent: outcome.UsualFirstEvent,
		Pace: outcome.Pace, UsualPace: outcome.UsualPace, Slowness: slowness,
	})
}
