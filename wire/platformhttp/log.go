package platformhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Log is the client of the log service.
type Log struct {
	serviceClient
}

// NewLog returns a client of the log service at the base URL.
func NewLog(baseURL string, client *http.Client) *Log {
	return &Log{serviceClient: serviceClient{url: baseURL, http: client}}
}

type appendResponse struct {
	Offset platform.Offset `json:"offset"`
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream platform.Stream, payload []byte) (platform.Offset, error) {
	status, body, err := l.do(ctx, http.MethodPost, l.recordsPath(stream), nil, payload)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, eris.Wrapf(platform.ErrOutcomeUnknown, "status %d", status)
	}
	var response appendResponse
	if err := json.Unmarshal(body, &response); err != nil || response.Offset == 0 {
		return 0, eris.Wrap(platform.ErrOutcomeUnknown, "unreadable answer")
	}
	return response.Offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int) (platform.Page, error) {
	return l.ReadWaiting(ctx, stream, from, limit, 0)
}

// ReadWaiting is like [Log.Read], but if the stream has no record at the offset
// yet, the service waits for one up to the given duration before it answers.
func (l *Log) ReadWaiting(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page platform.Page
	status, err := l.get(ctx, l.recordsPath(stream), query, &page)
	switch {
	case err != nil:
		return platform.Page{}, err
	case status == http.StatusGone:
		return page, platform.ErrTruncated
	case status != http.StatusOK:
		return platform.Page{}, eris.Wrapf(platform.ErrUnavailable, "status %d", status)
	}
	return page, nil
}

func (l *Log) recordsPath(stream platform.Stream) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}
