package platformhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// InstanceList is the client of the instance list. It caches the last listing, so
// that the service does not resend an unchanged one.
type InstanceList struct {
	serviceClient

	mu     sync.Mutex
	etag   string
	cached platform.InstanceListing
}

// NewInstanceList returns a client of the instance list at the base URL.
func NewInstanceList(baseURL string, client *http.Client) *InstanceList {
	return &InstanceList{serviceClient: serviceClient{url: baseURL, http: client}}
}

// Listing implements platform.InstanceList. Callers must not modify the rows,
// which are shared with later calls.
func (l *InstanceList) Listing(ctx context.Context) (platform.InstanceListing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	response, body, err := l.doIfChanged(ctx, http.MethodGet, "/v1/instances", nil, nil, l.etag)
	if err != nil {
		return platform.InstanceListing{}, eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	switch {
	case response.StatusCode == http.StatusNotModified && l.etag != "":
		return l.cached, nil
	case response.StatusCode != http.StatusOK:
		return platform.InstanceListing{}, eris.Wrapf(platform.ErrUnavailable, "status %d", response.StatusCode)
	}
	var listing platform.InstanceListing
	if err := json.Unmarshal(body, &listing); err != nil {
		return listing, eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	l.etag = response.Header.Get("ETag")
	l.cached = listing
	return listing, nil
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
	serviceClient
	submitter platform.InstanceID
}

// NewRatings returns a client of the rating service at the base URL. It submits
// answers under the ID of the submitter.
func NewRatings(baseURL string, client *http.Client, submitter platform.InstanceID) *Ratings {
	return &Ratings{serviceClient{url: baseURL, http: client}, submitter}
}

// Submit implements platform.RatingService.
func (r *Ratings) Submit(ctx context.Context, request platform.RatingRequest) error {
	query := url.Values{"submitter": {string(r.submitter)}}
	return r.write(ctx, http.MethodPost, "/v1/answers", query, request, nil)
}

type ratingsResponse struct {
	Ratings []platform.Rating `json:"ratings"`
	Next    uint64            `json:"next"`
}

// Ratings implements platform.RatingService.
func (r *Ratings) Ratings(ctx context.Context, submitter platform.InstanceID, cursor uint64) ([]platform.Rating, uint64, error) {
	query := url.Values{
		"submitter": {string(submitter)},
		"cursor":    {strconv.FormatUint(cursor, 10)},
	}
	var response ratingsResponse
	status, err := r.get(ctx, "/v1/ratings", query, &response)
	switch {
	case err != nil:
		return nil, cursor, err
	case status != http.StatusOK:
		return nil, cursor, eris.Wrapf(platform.ErrUnavailable, "status %d", status)
	}
	return response.Ratings, response.Next, nil
}

// WeightStore is the client of the weight store.
type WeightStore struct{ serviceClient }

// NewWeightStore returns a client of the weight store at the base URL.
func NewWeightStore(baseURL string, client *http.Client) *WeightStore {
	return &WeightStore{serviceClient{url: baseURL, http: client}}
}

type reservationRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Size    int64  `json:"size"`
}

type reservationResponse struct {
	WaitMillis int64 `json:"wait_ms"`
}

// Reserve implements platform.WeightStore.
func (s *WeightStore) Reserve(ctx context.Context, model, version string, size int64) (time.Duration, error) {
	var response reservationResponse
	message := reservationRequest{Model: model, Version: version, Size: size}
	if err := s.write(ctx, http.MethodPost, "/v1/reservations", nil, message, &response); err != nil {
		return 0, err
	}
	return time.Duration(response.WaitMillis) * time.Millisecond, nil
}

var (
	_ platform.Log           = (*Log)(nil)
	_ platform.InstanceList  = (*InstanceList)(nil)
	_ platform.RatingService = (*Ratings)(nil)
	_ platform.WeightStore   = (*WeightStore)(nil)
)
