// Package platformhttp meets the platform's services by HTTP with JSON bodies,
// as docs/PLATFORM.md describes them.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// MaxAnswerBytes bounds an answer of a platform service.
const MaxAnswerBytes = 64 << 20

// base is what the adapters share.
type base struct {
	url  string
	http *http.Client
}

// do sends one request. Its error is platform.ErrUnavailable if the call
// certainly had no effect, and platform.ErrOutcomeUnknown otherwise.
func (b *base) do(ctx context.Context, method, path string, query url.Values, body []byte) (int, []byte, error) {
	response, answer, err := b.exchange(ctx, method, path, query, body, "")
	if response == nil {
		return 0, nil, err
	}
	return response.StatusCode, answer, err
}

// exchange is do with the whole response. knownTag, if not empty, asks for an
// answer only if it differs from the one with this tag.
func (b *base) exchange(ctx context.Context, method, path string, query url.Values, body []byte, knownTag string) (*http.Response, []byte, error) {
	target := b.url + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	if knownTag != "" {
		request.Header.Set("If-None-Match", knownTag)
	}
	response, err := b.http.Do(request)
	if err != nil {
		return nil, nil, transportError(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes))
	if err != nil {
		return nil, nil, eris.Wrap(platform.ErrOutcomeUnknown, err.Error())
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return response, nil, platform.ErrUnavailable
	}
	return response, answer, nil
}

func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	return eris.Wrap(platform.ErrOutcomeUnknown, err.Error())
}

// get reads a JSON answer. A read has no effect, so every failure of it is
// platform.ErrUnavailable.
func (b *base) get(ctx context.Context, path string, query url.Values, answer any) (int, error) {
	status, body, err := b.do(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return status, eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return status, eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	return status, nil
}

// write sends a JSON body and accepts any 2xx status.
func (b *base) write(ctx context.Context, method, path string, query url.Values, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	status, received, err := b.do(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		return eris.Wrapf(platform.ErrOutcomeUnknown, "status %d", status)
	}
	if answer == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(received, answer), "platformhttp: decode answer")
}
