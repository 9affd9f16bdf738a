package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
)

const loadReport = `{"id":"e-1"}`

// withHead returns an answer with a load report, and with the given status and fields.
func withHead(status, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(loadReport), loadReport)
}

// malformedAnswers are answers whose head is malformed.
var malformedAnswers = map[string]string{
	"status 000":                 withHead("000 ", ""),
	"status 099":                 withHead("099 Odd", ""),
	"status +99":                 withHead("+99 Odd", ""),
	"status -99":                 withHead("-99 Odd", ""),
	"status of two digits":       withHead("20 OK", ""),
	"status 000, then an answer": "HTTP/1.1 000 Odd\r\n\r\n" + withHead("200 OK", ""),
	"status 099, then an answer": "HTTP/1.1 099 Odd\r\n\r\n" + withHead("200 OK", ""),
	"blank behind a name":        withHead("200 OK", "Odd : 1\r\n"),
	"blank inside a name":        withHead("200 OK", "Odd Name: 1\r\n"),
	"blank before a name":        withHead("200 OK", "Odd: 1\r\n Odd: 2\r\n"),
	"control byte in a name":     withHead("200 OK", "Odd\x01Name: 1\r\n"),
	"empty name":                 withHead("200 OK", ": 1\r\n"),
	"control byte in a value":    withHead("200 OK", "Odd: 1\x012\r\n"),
	"name of the length":         "HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\n" + loadReport,
	"name of the encoding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\nc\r\n" + loadReport + "\r\n0\r\n\r\n",
	"name of an interim answer":  "HTTP/1.1 103 Early Hints\r\nOdd Name: 1\r\n\r\n" + withHead("200 OK", ""),
	"another protocol":           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\nConnection: Upgrade\r\n\r\n" + withHead("200 OK", ""),
}

// serveAnswers answers the requests of each connection with the given answers, one after the other, and closes it.
func serveAnswers(t *testing.T, answers ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, answer := range answers {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body) // a failure shows at the caller
			_, _ = io.WriteString(conn, answer)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// sendAll sends a call of each kind and returns their errors. A chat request has none if its answer ended.
func sendAll(client *Client, address string) map[string]error {
	_, serviceErr := callService(client, address)
	_, loadErr := client.Load(context.Background(), address)
	chatErr := readChat(client, address)
	if chatErr == io.EOF {
		chatErr = nil
	}
	return map[string]error{
		"service": serviceErr, "load": loadErr, "chat": chatErr,
		"order": client.Order(context.Background(), address, Order{Action: ActionLoad, Model: "m", Version: "v"}),
	}
}

// TestMalformedHeadIsNoAnswer guards against an endpoint in trouble whose head has a status that none has, or a name of
// a field with a blank: its caller got it as an answer.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, answer := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			client := newRawClient(t)
			for kind, err := range sendAll(client, serveAnswers(t, answer)) {
				assert.Assert(t, err != nil, kind)
			}
			// On a connection that has carried an answer before.
			address := serveAnswers(t, withHead("200 OK", ""), answer)
			_, err := client.Load(context.Background(), address)
			assert.NilError(t, err)
			service := ServiceCall{Address: address, Method: http.MethodPost, PathAndQuery: "/x", Body: []byte("x"), Timeout: 20 * time.Second}
			got, err := client.Service(context.Background(), service, &outcome.Attempt{})
			assert.Assert(t, err != nil, "%+v", got)
		})
	}
}

// TestMalformedTrailerIsNoAnswer guards against a service's answer whose trailer has a name with a blank.
func TestMalformedTrailerIsNoAnswer(t *testing.T) {
	for trailer, isWhole := range map[string]bool{"Odd-Name: 1\r\n": true, "Odd Name: 1\r\n": false, "Odd : 1\r\n": false, "Odd\x01: 1\r\n": false} {
		address := serveAnswers(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n")
		_, err := callService(newRawClient(t), address)
		assert.Equal(t, err == nil, isWhole, "%q: %v", trailer, err)
	}
}

// TestConnectionCarriesManyAnswers guards against the body of an answer, or a further answer, that is taken for a
// malformed head.
func TestConnectionCarriesManyAnswers(t *testing.T) {
	const number = 5
	body := strings.Repeat("no field\r\n\r\nHTTP/1.1 000\r\n", 2_000)
	answer := fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	answers := make([]string, number)
	for n := range answers {
		answers[n] = answer
	}
	address := serveAnswers(t, answers...)
	client := newRawClient(t)
	for range number {
		got, err := client.Service(context.Background(), ServiceCall{Address: address, Method: http.MethodPost, PathAndQuery: "/x", Body: make([]byte, 1<<20), Timeout: 20 * time.Second}, &outcome.Attempt{})
		assert.NilError(t, err)
		assert.Assert(t, string(got.Body) == body)
	}
}
