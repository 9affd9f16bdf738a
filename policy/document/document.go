// Package document defines the types of the configuration document's sections and
// validates a whole document. A [Policy] is a validated document: it is built and
// replaced as a whole and never modified.
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

// Policy is a validated document.
type Policy struct {
	Revision config.Revision
	Accounts map[AccountID]Account
	Models   map[ModelName]Model
	Rollouts map[RolloutID]Rollout
	Pools    map[platform.PoolName]Pool
	Services map[ServiceName]Service
	Routing  Routing

	accountKeys []accountKey
}

// Account is a client account.
type Account struct {
	// KeyHashes are hex SHA-256 digests of the account's API keys.
	KeyHashes []string `json:"key_hashes"`
	// Allow lists the models and versions that the account may use.
	Allow []Grant `json:"allow"`
	// Services lists the plain services that the account may call.
	Services []ServiceName `json:"services,omitempty"`
	// RequestsPerSecond bounds the account's requests over the whole fleet.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the number of requests that may arrive at once.
	Burst int `json:"burst"`
	// Weight is the account's relative share when capacity is short; 1 if 0.
	Weight float64 `json:"weight,omitempty"`
}

// Grant allows the use of a model, in all versions or in those listed.
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

// VersionState determines whether a version may receive requests.
type VersionState string

// States of a version.
const (
	// VersionServing versions receive requests.
	VersionServing VersionState = "serving"
	// VersionWithdrawn versions receive no new requests, not even in open sessions.
	VersionWithdrawn VersionState = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	State VersionState `json:"state"`
	// PromptCost and AnswerCost are prices per token, in micro-units of money.
	PromptCost float64 `json:"prompt_cost"`
	AnswerCost float64 `json:"answer_cost"`
	// WeightBytes is the size of the weights to load, in bytes.
	WeightBytes int64 `json:"weight_bytes,omitempty"`
}

// RolloutState is the state of a roll-out as set by the operators.
type RolloutState string

// States of a roll-out.
const (
	// RolloutRunning roll-outs assign new sessions to the candidate.
	RolloutRunning RolloutState = "running"
	// RolloutPaused roll-outs assign no new session to the candidate.
	RolloutPaused RolloutState = "paused"
	// RolloutAborted roll-outs have ended; no new session is assigned to the candidate.
	RolloutAborted RolloutState = "aborted"
)

// Rollout replaces a model's version by a candidate, step by step.
type Rollout struct {
	Model     ModelName    `json:"model"`
	Candidate VersionName  `json:"candidate"`
	State     RolloutState `json:"state"`
	// Steps are the candidate's shares of new sessions, in (0, 1], in ascending order.
	Steps []float64 `json:"steps"`
	// Budget bounds the requests that the candidate may receive from new sessions, over the
	// whole fleet and all steps, until good answers of the candidate allow more. Later
	// requests of a session count too, but are never refused.
	Budget int `json:"budget"`
	// MaxErrorRate is the highest excess of the candidate's failure rate over the
	// incumbent's, in (0, 1), that the roll-out tolerates.
	MaxErrorRate float64 `json:"max_error_rate"`
}

// Pool is a set of endpoints. Its members come from the instance list.
type Pool struct {
	// Serves lists the model versions that the pool's engines may run.
	Serves []Ref `json:"serves,omitempty"`
	// Service is the plain service that the pool runs; empty for model engines.
	Service ServiceName `json:"service,omitempty"`
	// Slots is the number of requests that one endpoint runs concurrently.
	Slots int `json:"slots"`
	// ChecksFencing reports whether the endpoints reject old fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Service is a plain service.
type Service struct {
	// Rules are evaluated in order. A call that matches none is repeatable if its method
	// is GET or HEAD.
	Rules []CallRule `json:"rules"`
	// TimeoutMillis bounds one call, in milliseconds.
	TimeoutMillis int `json:"timeout_ms"`
}

// CallRule determines how calls with a method and path prefix are handled.
type CallRule struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// AtMostOnce calls are never repeated once a byte may have been sent.
	AtMostOnce bool `json:"at_most_once"`
}

// Routing holds the settings of the cascade.
type Routing struct {
	// Classes lists the task classes. DefaultClass applies to requests without a class.
	Classes      map[TaskClass]ClassRule `json:"classes"`
	DefaultClass TaskClass               `json:"default_class"`
	// ExploreShare bounds the share of requests used for exploration, in [0, 0.2].
	ExploreShare float64 `json:"explore_share"`
}

// ClassRule holds the quality target and the weights of one task class.
type ClassRule struct {
	// QualityTarget is the minimum share of good answers, in (0, 1].
	QualityTarget float64 `json:"quality_target"`
	// CostWeight (per micro-unit) and LatencyWeight (per millisecond) rank the plans that
	// meet the target.
	CostWeight    float64 `json:"cost_weight"`
	LatencyWeight float64 `json:"latency_weight"`
	// Models lists the models that may answer, cheapest first.
	Models []ModelName `json:"models"`
	// DeadlineMillis is the deadline of requests without one, in milliseconds.
	DeadlineMillis int `json:"deadline_ms"`
}

// Covers reports whether the grant includes the version.
func (g Grant) Covers(version VersionName) bool {
	return len(g.Versions) == 0 || slices.Contains(g.Versions, version)
}
