package platformhttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// InstanceList is the client of the instance list.
type InstanceList struct{ base }

// NewInstanceList returns a client of the instance list at the base URL.
func NewInstanceList(baseURL string, client *http.Client) *InstanceList {
	return &InstanceList{base{url: baseURL, http: client}}
}

// Listing implements platform.InstanceList.
func (l *InstanceList) Listing(ctx context.Context) (platform.InstanceListing, error) {
	var listing platform.InstanceListing
	_, err := l.get(ctx, "/v1/instances", nil, &listing)
	return listing, err
}

type announcement struct {
	platform.ListedInstance
	Leaving bool `json:"leaving"`
}

// Announce implements platform.InstanceList.
func (l *InstanceList) Announce(ctx context.Context, instance platform.ListedInstance, leaving bool) error {
	path := "/v1/instances/" + url.PathEscape(string(instance.ID))
	return l.write(ctx, http.MethodPut, path, nil, announcement{instance, leaving}, nil)
}

// Ratings is the client of the rating service.
type Ratings struct {
	base
	submitter platform.InstanceID
}

// NewRatings returns a client of the rating service for one submitter.
func NewRatings(baseURL string, client *http.Client, submitter platform.InstanceID) *Ratings {
	return &Ratings{base{url: baseURL, http: client}, submitter}
}

// Submit implements platform.RatingService.
func (r *Ratings) Submit(ctx context.Context, answer platform.RatedAnswer) error {
	query := url.Values{"submitter": {string(r.submitter)}}
	return r.write(ctx, http.MethodPost, "/v1/answers", query, answer, nil)
}

type ratingsAnswer struct {
	Ratings []platform.Rating `json:"ratings"`
	Next    uint64            `json:"next"`
}

// Ratings implements platform.RatingService.
func (r *Ratings) Ratings(ctx context.Context, submitter platform.InstanceID, cursor uint64) ([]platform.Rating, uint64, error) {
	query := url.Values{
		"submitter": {string(submitter)},
		"cursor":    {strconv.FormatUint(cursor, 10)},
	}
	var answer ratingsAnswer
	if _, err := r.get(ctx, "/v1/ratings", query, &answer); err != nil {
		return nil, cursor, err
	}
	return answer.Ratings, answer.Next, nil
}

// WeightStore is the client of the weight store.
type WeightStore struct{ base }

// NewWeightStore returns a client of the weight store at the base URL.
func NewWeightStore(baseURL string, client *http.Client) *WeightStore {
	return &WeightStore{base{url: baseURL, http: client}}
}

type reservation struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Size    int64  `json:"size"`
}

type reservationAnswer struct {
	WaitMillis int64 `json:"wait_ms"`
}

// Reserve implements platform.WeightStore.
func (s *WeightStore) Reserve(ctx context.Context, model, version string, size int64) (time.Duration, error) {
	var answer reservationAnswer
	message := reservation{Model: model, Version: version, Size: size}
	if err := s.write(ctx, http.MethodPost, "/v1/reservations", nil, message, &answer); err != nil {
		return 0, err
	}
	return time.Duration(answer.WaitMillis) * time.Millisecond, nil
}

var (
	_ platform.Log           = (*Log)(nil)
	_ platform.InstanceList  = (*InstanceList)(nil)
	_ platform.RatingService = (*Ratings)(nil)
	_ platform.WeightStore   = (*WeightStore)(nil)
)
