// Package platformhttp implements the interfaces of package coord/platform with
// HTTP requests and JSON bodies, as specified in docs/PLATFORM.md.
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

// MaxResponseBytes bounds the body of a platform service's response.
const MaxResponseBytes = 64 << 20

// serviceClient sends HTTP requests to one platform service. The clients of all
// services embed it.
type serviceClient struct {
	url  string
	http *http.Client
}

// do sends one request and returns the status and the body of the response. Its
// error is platform.ErrUnavailable if the request certainly had no effect, and
// platform.ErrOutcomeUnknown otherwise.
func (c *serviceClient) do(ctx context.Context, method, path string, query url.Values, body []byte) (int, []byte, error) {
	response, responseBody, err := c.doIfChanged(ctx, method, path, query, body, "")
	if response == nil {
		return 0, nil, err
	}
	return response.StatusCode, responseBody, err
}

// doIfChanged is like do but returns the response, whose Body is already closed,
// in place of the status. If etag is not empty, it is sent as If-None-Match, so
// that the service can respond with status 304 and no body.
func (c *serviceClient) doIfChanged(ctx context.Context, method, path string, query url.Values, body []byte, etag string) (*http.Response, []byte, error) {
	target := c.url + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, classifyTransportError(err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes))
	if err != nil {
		return nil, nil, eris.Wrap(platform.ErrOutcomeUnknown, err.Error())
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return response, nil, platform.ErrUnavailable
	}
	return response, responseBody, nil
}

// classifyTransportError returns platform.ErrUnavailable if no connection could
// be established, and platform.ErrOutcomeUnknown otherwise.
func classifyTransportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	return eris.Wrap(platform.ErrOutcomeUnknown, err.Error())
}

// get sends a GET request, decodes the JSON body of the answer into the response
// argument, whatever the status, and returns the status. A read has no effect, so
// all errors are platform.ErrUnavailable.
func (c *serviceClient) get(ctx context.Context, path string, query url.Values, response any) (int, error) {
	status, body, err := c.do(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return status, eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	if err := json.Unmarshal(body, response); err != nil {
		return status, eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	return status, nil
}

// write sends the message as JSON and decodes the JSON body of the answer into the
// response argument, unless that argument is nil. It accepts any 2xx status.
func (c *serviceClient) write(ctx context.Context, method, path string, query url.Values, message, response any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(platform.ErrUnavailable, err.Error())
	}
	status, responseBody, err := c.do(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		return eris.Wrapf(platform.ErrOutcomeUnknown, "status %d", status)
	}
	if response == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(responseBody, response), "platformhttp: decode answer")
}
