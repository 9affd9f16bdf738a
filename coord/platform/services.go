package platform

import (
	"context"
	"time"
)

// Zone names an availability zone.
type Zone string

// EndpointID names one endpoint: one run of one engine or plain service. A
// restarted endpoint takes a new EndpointID.
type EndpointID string

// PoolName names a set of endpoints that serve the same models, or the same
// plain service.
type PoolName string

// ListedState is what the instance list says of an endpoint.
type ListedState string

// States of a listed endpoint.
const (
	// ListedLive is an endpoint that takes work.
	ListedLive ListedState = "live"
	// ListedLeaving is an endpoint that finishes its work and takes no more.
	ListedLeaving ListedState = "leaving"
)

// ListedEndpoint is one row of the instance list.
type ListedEndpoint struct {
	ID      EndpointID  `json:"id"`
	Pool    PoolName    `json:"pool"`
	Zone    Zone        `json:"zone"`
	Address string      `json:"address"` // IP number and port
	State   ListedState `json:"state"`
}

// ListedInstance is an instance of this system in the instance list.
type ListedInstance struct {
	ID      InstanceID `json:"id"`
	Zone    Zone       `json:"zone"`
	Address string     `json:"address"` // peer protocol, IP number and port
}

// InstanceListing is one answer of the instance list. An answer with a lower
// version is older, whenever it arrives.
type InstanceListing struct {
	Version   uint64           `json:"version"`
	Endpoints []ListedEndpoint `json:"endpoints"`
	Instances []ListedInstance `json:"instances"`
}

// InstanceList is the platform's list of live and leaving instances. It lags.
type InstanceList interface {
	// Listing returns the newest listing. The error is [ErrUnavailable].
	Listing(ctx context.Context) (InstanceListing, error)
	// Announce adds or renews an instance of this system, and withdraws it
	// when leaving. The errors are [ErrUnavailable] and [ErrOutcomeUnknown].
	Announce(ctx context.Context, instance ListedInstance, leaving bool) error
}

// GoodScore is the least score of a good answer.
const GoodScore = 0.5

// Rating is the rating service's judgement of one answer.
type Rating struct {
	// RequestID is the request that was answered.
	RequestID string `json:"request_id"`
	// Score is in [0, 1]; an answer is good from [GoodScore] on.
	Score float64 `json:"score"`
}

// RatedAnswer is an answer handed to the rating service.
type RatedAnswer struct {
	RequestID string `json:"request_id"`
	TaskClass string `json:"task_class"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// RatingService rates answers, late and not all of them.
type RatingService interface {
	// Submit hands an answer over. The error is [ErrUnavailable].
	Submit(ctx context.Context, answer RatedAnswer) error
	// Ratings returns ratings of answers that this instance submitted, after
	// the cursor, and the next cursor. The error is [ErrUnavailable].
	Ratings(ctx context.Context, submitter InstanceID, cursor uint64) ([]Rating, uint64, error)
}

// WeightStore tells how long loading weights will take, and admits loads at
// its own rate.
type WeightStore interface {
	// Reserve asks for a slot to load a model version of the given size in
	// bytes, and returns how long to wait before the load may start. The
	// error is [ErrUnavailable].
	Reserve(ctx context.Context, model, version string, size int64) (wait time.Duration, err error)
}
