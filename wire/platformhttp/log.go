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
	base
	// wait is how long a read waits for a first record.
	wait time.Duration
}

// NewLog returns a client of the log service at the base URL. Reads return at
// once.
func NewLog(baseURL string, client *http.Client) *Log {
	return &Log{base: base{url: baseURL, http: client}}
}

// Waiting returns a client whose reads wait up to the duration for a record.
func (l *Log) Waiting(wait time.Duration) *Log {
	return &Log{base: l.base, wait: wait}
}

type appendAnswer struct {
	Offset platform.Offset `json:"offset"`
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream platform.Stream, payload []byte) (platform.Offset, error) {
	status, body, err := l.do(ctx, http.MethodPost, l.path(stream), nil, payload)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, eris.Wrapf(platform.ErrOutcomeUnknown, "status %d", status)
	}
	var answer appendAnswer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Offset == 0 {
		return 0, eris.Wrap(platform.ErrOutcomeUnknown, "unreadable answer")
	}
	return answer.Offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int) (platform.Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(l.wait.Milliseconds(), 10))
	var page platform.Page
	status, err := l.get(ctx, l.path(stream), query, &page)
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

func (l *Log) path(stream platform.Stream) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}
