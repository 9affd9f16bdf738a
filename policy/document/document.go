// Package document gives the sections of the configuration document their
// types, and checks a whole document. A [Policy] is the checked form: it is
// built whole, swapped whole and never modified.
package document

import (
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Sections of the document, each owned by one team.
const (
	SectionAccounts  config.SectionName = "accounts"
	SectionModels    config.SectionName = "models"
	SectionRollouts  config.SectionName = "rollouts"
	SectionEndpoints config.SectionName = "endpoints"
	SectionServices  config.SectionName = "services"
	SectionRouting   config.SectionName = "routing"
)

// Names used in the document.
type (
	// AccountID names a client account.
	AccountID string
	// ModelName names a model.
	ModelName string
	// VersionName names a version of a model.
	VersionName string
	// RolloutID names a roll-out.
	RolloutID string
	// ServiceName names a plain service.
	ServiceName string
	// TaskClass names a kind of task with a quality target of its own.
	TaskClass string
)

// Ref names one version of one model.
type Ref struct {
	Model   ModelName   `json:"model"`
	Version VersionName `json:"version"`
}

// String returns "model@version".
func (r Ref) String() string { return string(r.Model) + "@" + string(r.Version) }

// Policy is a checked document.
type Policy struct {
	Revision config.Revision
	Accounts map[AccountID]Account
	Models   map[ModelName]Model
	Rollouts map[RolloutID]Rollout
	Pools    map[platform.PoolName]Pool
	Services map[ServiceName]Service
	Routing  Routing

	keys []accountKey
}

// Account is a client account.
type Account struct {
	// KeyHashes are hex SHA-256 digests of the account's API keys.
	KeyHashes []string `json:"key_hashes"`
	// Allow lists what the account may use.
	Allow []Grant `json:"allow"`
	// Services lists the plain services that the account may call.
	Services []ServiceName `json:"services,omitempty"`
	// RequestsPerSecond bounds the account's requests over the whole fleet.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the number of requests that may come at once.
	Burst int `json:"burst"`
	// Weight is the account's share when capacity is short; 1 if 0.
	Weight float64 `json:"weight,omitempty"`
}

// Grant allows a model, in all versions or in those listed.
type Grant struct {
	Model    ModelName     `json:"model"`
	Versions []VersionName `json:"versions,omitempty"`
}

// Model is a model with its versions.
type Model struct {
	// Stable is the version that new sessions get outside roll-outs.
	Stable   VersionName             `json:"stable"`
	Versions map[VersionName]Version `json:"versions"`
}

// VersionState tells whether a version may get work.
type VersionState string

// States of a version.
const (
	// VersionServing versions get work.
	VersionServing VersionState = "serving"
	// VersionWithdrawn versions get no new work, also in open sessions.
	VersionWithdrawn VersionState = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	State VersionState `json:"state"`
	// PromptCost and AnswerCost are prices in micro-units of money per token.
	PromptCost float64 `json:"prompt_cost"`
	AnswerCost float64 `json:"answer_cost"`
	// WeightBytes is the size of the weights to load, in bytes.
	WeightBytes int64 `json:"weight_bytes,omitempty"`
}

// RolloutState is what the operators want of a roll-out.
type RolloutState string

// States of a roll-out.
const (
	// RolloutRunning roll-outs give the candidate to new sessions.
	RolloutRunning RolloutState = "running"
	// RolloutPaused roll-outs give the candidate to no new session.
	RolloutPaused RolloutState = "paused"
	// RolloutAborted roll-outs are over; the candidate gets no new session.
	RolloutAborted RolloutState = "aborted"
)

// Rollout brings a candidate version of a model into use step by step.
type Rollout struct {
	Model     ModelName    `json:"model"`
	Candidate VersionName  `json:"candidate"`
	State     RolloutState `json:"state"`
	// Steps are the shares of new sessions, in (0, 1], in rising order.
	Steps []float64 `json:"steps"`
	// Budget bounds the requests that the candidate may meet on the first
	// step, over the whole fleet, before evidence allows more.
	Budget int `json:"budget"`
	// MaxErrorRate is the share of failed answers, in (0, 1), above the
	// incumbent's that the roll-out must not tolerate.
	MaxErrorRate float64 `json:"max_error_rate"`
}

// Pool is a set of endpoints. Its members come from the instance list.
type Pool struct {
	// Serves lists the model versions that the pool's engines may run.
	Serves []Ref `json:"serves,omitempty"`
	// Service is the plain service that the pool runs, if it runs one.
	Service ServiceName `json:"service,omitempty"`
	// Slots is the number of requests that one endpoint runs side by side.
	Slots int `json:"slots"`
	// ChecksFencing tells whether the endpoints refuse old fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Service is a plain service.
type Service struct {
	// Rules are tried in order; a call that none matches is repeatable if
	// its method is GET or HEAD.
	Rules []CallRule `json:"rules"`
	// TimeoutMillis bounds one call, in milliseconds.
	TimeoutMillis int `json:"timeout_ms"`
}

// CallRule says how calls of one shape are treated.
type CallRule struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// AtMostOnce calls are never repeated once a byte may have left.
	AtMostOnce bool `json:"at_most_once"`
}

// Routing holds the weights of the cascade.
type Routing struct {
	// Classes lists the task classes; DefaultClass is for requests that name none.
	Classes      map[TaskClass]ClassRule `json:"classes"`
	DefaultClass TaskClass               `json:"default_class"`
	// ExploreShare bounds the share of requests spent on learning, in [0, 0.2].
	ExploreShare float64 `json:"explore_share"`
}

// ClassRule is the target of one task class.
type ClassRule struct {
	// QualityTarget is the share of answers, in (0, 1], that must be good.
	QualityTarget float64 `json:"quality_target"`
	// CostWeight and LatencyWeight weigh money (micro-units) against time
	// (milliseconds) when plans meet the target alike.
	CostWeight    float64 `json:"cost_weight"`
	LatencyWeight float64 `json:"latency_weight"`
	// Models lists the models that may answer, cheapest first.
	Models []ModelName `json:"models"`
	// DeadlineMillis is the deadline of requests that name none, in milliseconds.
	DeadlineMillis int `json:"deadline_ms"`
}

// Covers reports whether the grant includes the version.
func (g Grant) Covers(version VersionName) bool {
	return len(g.Versions) == 0 || slices.Contains(g.Versions, version)
}
