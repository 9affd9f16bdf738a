package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/standin/answer"
	"github.com/wigeonusher/wigeonusher/standin/fixture"
	"github.com/wigeonusher/wigeonusher/standin/load"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

const ref = "cheap@v1"

// router is a caller API whose answers a test decides.
type router struct {
	mu    sync.Mutex
	calls int
	reply func(call int, w http.ResponseWriter, r *http.Request, own answer.Answer)
}

func (f *router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.calls++
	call := f.calls
	f.mu.Unlock()
	var body struct {
		MaxTokens int `json:"max_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Wigeonusher-Model", ref)
	f.reply(call, w, r, answer.Answer{RequestID: id, Ref: ref, Tokens: body.MaxTokens, Quality: 1})
}

func whole(w http.ResponseWriter, text string) {
	encoded, _ := json.Marshal(text)
	fmt.Fprintf(w, `{"choices":[{"message":{"content":%s}}]}`, encoded)
}

func streamed(w http.ResponseWriter, text, end string) {
	encoded, _ := json.Marshal(text)
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n%s", encoded, end)
}

func refuse(w http.ResponseWriter, outcome string) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"type":"overloaded","outcome":%q,"retry_after_ms":1}`, outcome)
}

const done = "data: [DONE]\n\n"

func mix(address string, stream bool) load.Mix {
	m := load.MixFor(fixture.Sheetline())
	m.Callers = []string{address}
	m.Service = nil
	m.SessionShare = 0
	m.VirtualUsers = 1
	m.ThinkMillis = 0
	m.MaxRequests = 1
	for i := range m.Classes {
		m.Classes[i].StreamShare = 0
		if stream {
			m.Classes[i].StreamShare = 1
		}
	}
	return m
}

func run(t *testing.T, m func(address string) load.Mix, reply func(int, http.ResponseWriter, *http.Request, answer.Answer)) []observation.Observation {
	t.Helper()
	server := httptest.NewServer(&router{reply: reply})
	defer server.Close()
	report, err := load.Run(context.Background(), m(strings.TrimPrefix(server.URL, "http://")), load.Options{})
	assert.NilError(t, err)
	return report.Observations
}

func TestAnswersAreVerified(t *testing.T) {
	other := func(own answer.Answer) answer.Answer {
		own.RequestID = "another"
		return own
	}
	cases := map[string]struct {
		stream bool
		reply  func(w http.ResponseWriter, own answer.Answer)
		result observation.Result
	}{
		"whole":          {false, func(w http.ResponseWriter, own answer.Answer) { whole(w, own.Text()) }, observation.Answered},
		"stream":         {true, func(w http.ResponseWriter, own answer.Answer) { streamed(w, own.Text(), done) }, observation.Answered},
		"foreign":        {false, func(w http.ResponseWriter, own answer.Answer) { whole(w, other(own).Text()) }, observation.Defective},
		"foreign stream": {true, func(w http.ResponseWriter, own answer.Answer) { streamed(w, other(own).Text(), done) }, observation.Defective},
		"missing word": {true, func(w http.ResponseWriter, own answer.Answer) {
			text := own.Text()
			streamed(w, text[:strings.LastIndex(text, " ")], done)
		}, observation.Defective},
		"mixed words": {false, func(w http.ResponseWriter, own answer.Answer) {
			whole(w, own.Header()+strings.TrimPrefix(other(own).Text(), other(own).Header()))
		}, observation.Defective},
		"silent end": {true, func(w http.ResponseWriter, own answer.Answer) { streamed(w, own.Text(), "") }, observation.Defective},
		"error event": {true, func(w http.ResponseWriter, own answer.Answer) {
			streamed(w, own.Header(), "data: {\"error\":{\"type\":\"answer-interrupted\",\"outcome\":\"unknown\"}}\n\n")
		}, observation.Unknown},
		"no outcome": {false, func(w http.ResponseWriter, _ answer.Answer) { w.WriteHeader(http.StatusBadGateway) }, observation.Defective},
		"unknown":    {false, func(w http.ResponseWriter, _ answer.Answer) { refuse(w, "unknown") }, observation.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			seen := run(t, func(address string) load.Mix { return mix(address, c.stream) },
				func(_ int, w http.ResponseWriter, _ *http.Request, own answer.Answer) { c.reply(w, own) })
			assert.Equal(t, len(seen), 1)
			assert.Equal(t, seen[0].Result, c.result, seen[0].Problem)
		})
	}
}

func TestRefusedRequestIsSentAgainUnderANewID(t *testing.T) {
	seen := run(t, func(address string) load.Mix { return mix(address, false) },
		func(call int, w http.ResponseWriter, _ *http.Request, own answer.Answer) {
			if call == 1 {
				refuse(w, "not_run")
				return
			}
			whole(w, own.Text())
		})
	assert.Equal(t, len(seen), 2)
	assert.Equal(t, seen[0].Result, observation.NotRun)
	assert.Equal(t, seen[1].Result, observation.Answered)
	assert.Assert(t, seen[0].RequestID != seen[1].RequestID)
}

func TestUnknownBookingIsAskedAgainWithItsKey(t *testing.T) {
	bookings := func(address string) load.Mix {
		m := mix(address, false)
		m.Service = &load.Service{Name: "orders", Share: 1}
		return m
	}
	seen := run(t, bookings, func(call int, w http.ResponseWriter, r *http.Request, _ answer.Answer) {
		if call == 1 {
			refuse(w, "unknown")
			return
		}
		fmt.Fprintf(w, `{"request_id":"first try","key":%q}`, r.Header.Get("Idempotency-Key"))
	})
	assert.Equal(t, len(seen), 2)
	assert.Equal(t, seen[1].Result, observation.Answered)
	assert.Equal(t, seen[0].Key, seen[1].Key)
}

func TestMixIsChecked(t *testing.T) {
	m := mix("192.0.2.1:80", false)
	m.VirtualUsers = 0
	m.Classes[0].Model = ""
	findings := m.Check()
	assert.Equal(t, len(findings), 3, "%v", findings)
}

func TestEqualSeedsAskEqualQuestions(t *testing.T) {
	ask := func() []string {
		var mu sync.Mutex
		var asked []string
		run(t, func(address string) load.Mix {
			m := mix(address, false)
			m.MaxRequests = 20
			m.SessionShare = 0.5
			return m
		}, func(_ int, w http.ResponseWriter, r *http.Request, own answer.Answer) {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, r.Header.Get("X-Request-Id")+r.Header.Get("Task-Class")+r.Header.Get("Session-Id"))
			whole(w, own.Text())
		})
		return asked
	}
	assert.DeepEqual(t, ask(), ask())
}
