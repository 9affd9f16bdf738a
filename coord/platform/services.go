package platform

import (
	"context"
	"time"
)

// Zone names an availability zone.
type Zone string

// EndpointID identifies one endpoint, that is one run of an engine or plain
// service. A restarted endpoint uses a new EndpointID.
type EndpointID string

// PoolName names a pool: a set of endpoints that serve the same models or the
// same plain service.
type PoolName string

// ListedState is the state of an endpoint in the instance list.
type ListedState string

// States of a listed endpoint.
const (
	// ListedLive is an endpoint that accepts work.
	ListedLive ListedState = "live"
	// ListedLeaving is an endpoint that finishes its work and accepts no more.
	ListedLeaving ListedState = "leaving"
)

// ListedEndpoint is an endpoint in the instance list.
type ListedEndpoint struct {
	ID      EndpointID  `json:"id"`
	Pool    PoolName    `json:"pool"`
	Zone    Zone        `json:"zone"`
	Address string      `json:"address"` // IP address and port
	State   ListedState `json:"state"`
}

// ListedInstance is an instance of this project in the instance list.
type ListedInstance struct {
	ID      InstanceID `json:"id"`
	Zone    Zone       `json:"zone"`
	Address string     `json:"address"` // IP address and port of the peer protocol
}

// InstanceListing is one version of the instance list. A listing with a lower
// version is older, even if it arrives later.
type InstanceListing struct {
	Version   uint64           `json:"version"`
	Endpoints []ListedEndpoint `json:"endpoints"`
	Instances []ListedInstance `json:"instances"`
}

// InstanceList is the platform's list of live and leaving endpoints and
// instances. It lags behind their actual state.
type InstanceList interface {
	// Listing returns the newest listing. The error is [ErrUnavailable].
	Listing(ctx context.Context) (InstanceListing, error)
	// Announce adds or renews an instance of this project, or removes it if the
	// last argument is true. The errors are [ErrUnavailable] and [ErrOutcomeUnknown].
	Announce(ctx context.Context, instance ListedInstance, leaving bool) error
}

// GoodScore is the minimum score of a good answer.
const GoodScore = 0.5

// Rating is the rating service's score of one answer.
type Rating struct {
	// RequestID identifies the rated request.
	RequestID string `json:"request_id"`
	// Score is in [0, 1]; an answer with at least [GoodScore] is good.
	Score float64 `json:"score"`
}

// RatingRequest is an answer submitted to the rating service.
type RatingRequest struct {
	RequestID string `json:"request_id"`
	TaskClass string `json:"task_class"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// RatingService rates answers. Ratings arrive late and only for some answers.
type RatingService interface {
	// Submit submits an answer for rating. The error is [ErrUnavailable].
	Submit(ctx context.Context, answer RatingRequest) error
	// Ratings returns the ratings of the submitter's answers that follow the
	// cursor, and the next cursor. The error is [ErrUnavailable].
	Ratings(ctx context.Context, submitter InstanceID, cursor uint64) ([]Rating, uint64, error)
}

// WeightStore stores model weights. It limits the rate at which loads start.
type WeightStore interface {
	// Reserve reserves a slot to load a model version of the given size, in
	// bytes, and returns the time to wait before the load may start. The error
	// is [ErrUnavailable].
	Reserve(ctx context.Context, model, version string, size int64) (wait time.Duration, err error)
}
