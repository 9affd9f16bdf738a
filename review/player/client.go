package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// channel is a client's kept channel to one machine.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a client sees.
type answer struct {
	status int
	stamp  string
	body   string
	// retryAfter is the header Retry-After.
	retryAfter string
	complete   bool // the answer has come to its end
	err        error
}

func (a answer) String() string {
	text := fmt.Sprintf("status %d, stamp %q, %d bytes, complete %v", a.status, a.stamp, len(a.body), a.complete)
	if a.err != nil {
		text += ", " + strings.ReplaceAll(a.err.Error(), "\n", " ")
	}
	return text
}

// send sends a request and reads its answer to the end, within the client's time.
func (c *channel) send(method, path, attempt string, body []byte, remaining time.Duration, more ...string) answer {
	return c.sendWithKey(key, method, path, attempt, body, remaining, more...)
}

func (c *channel) sendWithKey(key, method, path, attempt string, body []byte, remaining time.Duration, more ...string) answer {
	c.conn.SetDeadline(time.Now().Add(remaining + time.Second))
	var request strings.Builder
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\nWigeonusher-Attempt-Id: %s\r\nWigeonusher-Deadline-Remaining-Ms: %d\r\n",
		method, path, host, attempt, remaining.Milliseconds())
	if key != "" {
		request.WriteString("Wigeonusher-Credential: " + key + "\r\n")
	}
	for _, line := range more {
		request.WriteString(line + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&request, "Content-Length: %d\r\n", len(body))
	}
	request.WriteString("\r\n")
	if _, err := io.WriteString(c.conn, request.String()); err != nil {
		return answer{err: err}
	}
	if _, err := c.conn.Write(body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: method}) // an interim answer
	}
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get(stampHeader), retryAfter: response.Header.Get("Retry-After"), body: string(text), complete: err == nil, err: err}
}

// modelHeaders are the headers of a request to a model.
func modelHeaders(own string) []string {
	return []string{
		"Wigeonusher-Model: *", "Wigeonusher-Token-Counts: 1460,80",
		"Wigeonusher-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," + own + ":250",
	}
}

// config is the operator's config, like the one that `fleetbench wire` shows.
func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-stream", "host": host, "path_prefix": "/lohu930/", "kind": "stream", "timeout_ms": 25000, "target_latency_ms": 2000,
				"priority": 0, "sizes": []string{"daka510000", "rada7437b5", "ravo486f6a"}, "service": "huvo11a", "max_attempts": 3,
				"public": false, "session_affinity": true, "stream_resume": true, "target_gap_ms": 1200,
			},
			map[string]any{
				"name": "r-book", "host": host, "path_prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
				"priority": 2, "service": "wuno96b", "max_attempts": 1, "public": false,
			},
			map[string]any{
				"name": "r-look", "host": host, "path_prefix": "/stock77/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
				"priority": 2, "service": "wuno96b", "max_attempts": 2, "public": false,
			},
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 787049, "models": []any{
					map[string]any{"name": "daka510000", "cost": 0.016}, map[string]any{"name": "rada7437b5", "cost": 0.12}, map[string]any{"name": "ravo486f6a", "cost": 0.24},
				},
			}},
			map[string]any{"name": "wuno96b", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}
