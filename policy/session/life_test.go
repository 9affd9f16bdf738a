package session_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/rollout"
	"github.com/wigeonusher/wigeonusher/policy/session"
)

// node is one instance: folds, ledger and table, all in memory.
type node struct {
	id     platform.InstanceID
	config *config.Fold
	runs   *rollout.Fold
	ledger *rollout.Ledger
	table  *session.Table
	policy *document.Policy
	next   int
}

func newNode(id platform.InstanceID) *node {
	documents := config.NewFold(document.Validate, nil)
	return &node{
		id:     id,
		config: documents,
		runs:   rollout.NewFold(documents.Document, nil),
		ledger: rollout.NewLedger(id),
		table:  session.NewTable(3, 1, time.Hour),
	}
}

func (n *node) read(t *rapid.T, log []platform.Entry, until int) {
	for ; n.next < until; n.next++ {
		position := platform.Position{Offset: platform.Offset(n.next + 1)}
		n.config.Apply(position, log[n.next])
		n.runs.Apply(position, log[n.next])
	}
	policy, findings := document.Parse(n.config.Document())
	assert.NilError(t, findings.Err())
	n.policy = policy
	n.ledger.Update(n.runs.Statuses(), func(id document.RolloutID) rollout.Allotment {
		return n.runs.Allotted(id, n.id)
	})
}

// conversation is what a caller knows of its session.
type conversation struct {
	id      session.ID
	token   string
	version document.VersionName
}

// lifeModel draws turns, kills, roll-out moves, edits and log outages.
type lifeModel struct {
	log           []platform.Entry
	judge         *node
	nodes         []*node
	born          int
	now           time.Time
	conversations []*conversation
	withdrawn     map[document.VersionName]bool
}

func (m *lifeModel) spawn(t *rapid.T) *node {
	m.born++
	n := newNode(platform.InstanceID(fmt.Sprint("i-", m.born)))
	n.read(t, m.log, len(m.log))
	return n
}

func (m *lifeModel) append(t *rapid.T, kind platform.Kind, body any) {
	entry, err := platform.NewEntry(fmt.Sprint("e-", len(m.log)), kind, "w", body)
	assert.NilError(t, err)
	m.log = append(m.log, entry)
	m.judge.read(t, m.log, len(m.log))
}

func (m *lifeModel) publish(t *rapid.T, section config.SectionName, body any) {
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	base := m.judge.config.Document().Sections[section].Revision
	m.append(t, config.KindProposal, config.Proposal{Section: section, Base: base, Author: "operator", Body: encoded})
}

func (m *lifeModel) publishModels(t *rapid.T, stable document.VersionName) {
	versions := map[document.VersionName]document.Version{}
	for _, name := range []document.VersionName{"v1", "v2", "v3"} {
		versions[name] = document.Version{State: document.VersionServing}
		if m.withdrawn[name] {
			versions[name] = document.Version{State: document.VersionWithdrawn}
		}
	}
	m.publish(t, document.SectionModels, map[document.ModelName]document.Model{"m": {Stable: stable, Versions: versions}})
}

func (m *lifeModel) start(t *rapid.T) {
	m.judge = newNode("judge")
	m.publishModels(t, "v1")
	m.publish(t, document.SectionAccounts, map[document.AccountID]document.Account{
		"a": {Allow: []document.Grant{{Model: "m"}}, RequestsPerSecond: 1, Burst: 1},
	})
	m.publish(t, document.SectionRollouts, map[document.RolloutID]document.Rollout{"r": {
		Model: "m", Candidate: "v2", State: document.RolloutRunning,
		Steps: []float64{0.4, 0.8}, Budget: 20, MaxErrorRate: 0.1,
	}})
	for range 3 {
		m.nodes = append(m.nodes, m.spawn(t))
	}
}

func (m *lifeModel) pick(t *rapid.T) *node {
	return rapid.SampledFrom(m.nodes).Draw(t, "node")
}

func (m *lifeModel) firstTurn(t *rapid.T) {
	at := m.pick(t)
	c := &conversation{id: session.ID(fmt.Sprint("s-", len(m.conversations)))}
	birth := session.NewBirth(at.policy, at.ledger, "a", c.id, m.now)
	kept := at.table.Adopt(birth, m.now)
	version, err := kept.Version(at.policy, "m")
	assert.NilError(t, err)
	status, ok := at.runs.Status("r")
	assert.Assert(t, ok)
	if version == status.Rollout.Candidate && version != at.policy.Models["m"].Stable {
		assert.Assert(t, !status.Braked, "a new session met a braked candidate")
	}
	c.version = version
	c.token = session.Sign(testKey, kept)
	m.conversations = append(m.conversations, c)
}

// laterTurn goes to any node, which may never have heard of the session and
// may be behind the log.
func (m *lifeModel) laterTurn(t *rapid.T) {
	if len(m.conversations) == 0 {
		t.Skip("no session yet")
	}
	c := rapid.SampledFrom(m.conversations).Draw(t, "session")
	at := m.pick(t)
	birth, known := at.table.Lookup("a", c.id, m.now)
	if !known || rapid.Bool().Draw(t, "shows token") {
		carried, err := session.Verify(testKey, c.token)
		assert.NilError(t, err)
		birth = at.table.Adopt(carried, m.now)
	}
	version, err := birth.Version(at.policy, "m")
	if at.policy.Models["m"].Versions[c.version].State == document.VersionWithdrawn {
		var ended *session.Ended
		assert.Assert(t, errors.As(err, &ended), "no refusal: %q, %v", version, err)
		assert.Equal(t, ended.Ref.Version, c.version)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, version, c.version)
}

func (m *lifeModel) verdict(t *rapid.T) {
	status, ok := m.judge.runs.Status("r")
	assert.Assert(t, ok)
	moves := []rollout.Move{rollout.Advance, rollout.Extend, rollout.Brake, rollout.Complete}
	m.append(t, rollout.KindVerdict, rollout.Verdict{
		Run:       status.Run,
		Step:      status.Step,
		Move:      rapid.SampledFrom(moves).Draw(t, "move"),
		Evidence:  rollout.Evidence{CandidateGood: 10},
		Allowance: 100,
	})
}

func (m *lifeModel) grant(t *rapid.T) {
	status, _ := m.judge.runs.Status("r")
	m.append(t, rollout.KindGrant, rollout.Grant{
		Run: status.Run, Instance: m.pick(t).id, Requests: 5, Sequence: uint64(len(m.log)),
	})
}

// editModels moves the stable version, and may withdraw another for good.
func (m *lifeModel) editModels(t *rapid.T) {
	versions := []document.VersionName{"v1", "v2", "v3"}
	stable := rapid.SampledFrom(versions).Draw(t, "stable")
	if m.withdrawn[stable] {
		t.Skip("withdrawn")
	}
	gone := rapid.SampledFrom(versions).Draw(t, "withdrawn")
	if gone != stable && rapid.IntRange(0, 3).Draw(t, "withdraw") == 0 {
		m.withdrawn[gone] = true
	}
	m.publishModels(t, stable)
}

// TestSessionKeepsItsVersion draws turns at any instance, instances that die
// and start empty, tables that overflow, instances that lag behind the log,
// steps, brakes and ends of a roll-out, changes of the stable version, and
// withdrawals.
func TestSessionKeepsItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &lifeModel{now: t0, withdrawn: map[document.VersionName]bool{}}
		m.start(t)
		t.Repeat(map[string]func(*rapid.T){
			"first turn":  m.firstTurn,
			"later turn":  m.laterTurn,
			"verdict":     m.verdict,
			"grant":       m.grant,
			"edit models": m.editModels,
			"read": func(t *rapid.T) {
				at := m.pick(t)
				at.read(t, m.log, rapid.IntRange(at.next, len(m.log)).Draw(t, "until"))
			},
			"kill and replace": func(t *rapid.T) {
				m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "at")] = m.spawn(t)
			},
			"time passes": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute)
			},
		})
	})
}

// TestBirthsConverge shows that all holders of several births of one session
// settle on the same one, in whatever order and however often they meet them.
func TestBirthsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		births := rapid.SliceOfN(rapid.Custom(drawBirth), 1, 5).Draw(t, "births")
		lowest := births[0]
		for _, birth := range births {
			lowest = session.Merge(lowest, birth)
		}
		for range 2 {
			table := session.NewTable(10, 1, time.Hour)
			order := rapid.Permutation(append(births, births...)).Draw(t, "order")
			for _, birth := range order {
				table.Adopt(birth, t0)
			}
			kept, ok := table.Lookup("a", "s", t0)
			assert.Assert(t, ok)
			assert.DeepEqual(t, kept, lowest)
		}
	})
}

func drawBirth(t *rapid.T) session.Birth {
	versions := rapid.SampledFrom([]document.VersionName{"v1", "v2"})
	return session.Birth{
		Account:        "a",
		Session:        "s",
		Revision:       config.Revision(rapid.IntRange(1, 2).Draw(t, "revision")),
		BornUnixMillis: int64(rapid.IntRange(1, 2).Draw(t, "born")),
		Pins: map[document.ModelName]document.VersionName{
			"m": versions.Draw(t, "m"),
			"n": versions.Draw(t, "n"),
		},
	}
}
