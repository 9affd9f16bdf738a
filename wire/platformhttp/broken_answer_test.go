package platformhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/wire/platformhttp"
)

// serveRaw answers each request with the given bytes and ends the connection, by a reset if isReset is set.
func serveRaw(t *testing.T, sent string, isReset bool) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body) // a failure shows at the caller
				_, _ = io.WriteString(conn, sent)
			}
			if isReset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// calls are calls whose result is used, with the body of an answer to each.
var calls = map[string]struct {
	body string
	call func(t *testing.T, url string) error
}{
	"append": {`{"offset":7}`, func(t *testing.T, url string) error {
		_, err := platformhttp.NewLog(url, &http.Client{}).Append(t.Context(), platform.StreamBills, []byte("[]"))
		return err
	}},
	"read": {`{"records":[],"first":1,"next":2,"end":2}`, func(t *testing.T, url string) error {
		_, err := platformhttp.NewLog(url, &http.Client{}).Read(t.Context(), platform.StreamControl, 1, 10)
		return err
	}},
	"listing": {`{"version":1,"endpoints":[],"instances":[]}`, func(t *testing.T, url string) error {
		_, err := platformhttp.NewInstanceList(url, &http.Client{}).Listing(t.Context())
		return err
	}},
	"ratings": {`{"ratings":[],"next":3}`, func(t *testing.T, url string) error {
		_, _, err := platformhttp.NewRatings(url, &http.Client{}, "i").Ratings(t.Context(), "i", 2)
		return err
	}},
	"reservation": {`{"wait_ms":5}`, func(t *testing.T, url string) error {
		_, err := platformhttp.NewWeightStore(url, &http.Client{}).Reserve(t.Context(), "m", "v", 1)
		return err
	}},
}

// TestBrokenAnswerOfAServiceIsAnError guards against answers of the platform's services that count though they are
// cut off, or though the service says that it has failed: a listing without endpoints, or ratings that begin anew.
func TestBrokenAnswerOfAServiceIsAnError(t *testing.T) {
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			for _, isReset := range []bool{false, true} {
				for cut := range len(c.body) {
					assert.Assert(t, c.call(t, serveRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+c.body[:cut], isReset)) != nil, "%q, reset %t", c.body[:cut], isReset)
				}
			}
			for _, status := range []string{"000 Odd", "099 Odd", "500 Failed", "404 Not Found", "304 Not Modified"} {
				assert.Assert(t, c.call(t, serveRaw(t, "HTTP/1.1 "+status+"\r\n\r\n"+c.body, false)) != nil, status)
			}
			chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(c.body), c.body)
			assert.Assert(t, c.call(t, serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"+chunks, false)) != nil)
			assert.NilError(t, c.call(t, serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks, false)))
		})
	}
}
