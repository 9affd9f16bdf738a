package engine_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/standin/answer"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/faults"
)

const ref = "cheap@v1"

func start(t *testing.T, config engine.Config) *engine.Server {
	t.Helper()
	config.Seed = 7
	config.Identity = endpoint.Identity{ID: "e1", Pool: "models", Zone: "a"}
	if config.Loaded == nil {
		config.Loaded = []string{ref}
	}
	s := engine.New(config)
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func chatRequest(t *testing.T, url string, stream bool, content string) *http.Request {
	t.Helper()
	text, err := json.Marshal(content)
	assert.NilError(t, err)
	body, err := json.Marshal(engine.ChatRequest{
		Model:     ref,
		Messages:  []engine.Message{{Role: "user", Content: text}},
		MaxTokens: 10,
		Stream:    stream,
		Logprobs:  true,
	})
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(engine.HeaderRequestID, "r1")
	request.Header.Set(engine.HeaderAttemptID, "r1-1")
	return request
}

func TestCompleteAnswerCarriesIDsLogprobsAndUsage(t *testing.T) {
	s := start(t, engine.Config{})
	response, err := http.DefaultClient.Do(chatRequest(t, s.URL(), false, "hello [class=tagging]"))
	assert.NilError(t, err)
	defer response.Body.Close()
	var chat engine.Completion
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&chat))
	parsed, err := answer.Parse(chat.Choices[0].Message.Content)
	assert.NilError(t, err)
	assert.Equal(t, parsed.RequestID, "r1")
	assert.Equal(t, parsed.Ref, ref)
	assert.Equal(t, chat.ID, "r1-1")
	assert.Equal(t, len(chat.Choices[0].Logprobs.Content), 10)
	assert.Equal(t, chat.Usage.CompletionTokens, 10)
	assert.Equal(t, s.Runs()[0].End, engine.RunDone)
}

func TestStreamedAnswerEndsWithDoneAndParses(t *testing.T) {
	s := start(t, engine.Config{})
	response, err := http.DefaultClient.Do(chatRequest(t, s.URL(), true, "hello"))
	assert.NilError(t, err)
	defer response.Body.Close()
	text, done := readStream(t, response.Body)
	assert.Assert(t, done)
	_, err = answer.Parse(text)
	assert.NilError(t, err)
}

func readStream(t *testing.T, body io.Reader) (text string, done bool) {
	t.Helper()
	data, _ := io.ReadAll(body)
	for _, line := range strings.Split(string(data), "\n") {
		payload, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			return text, true
		}
		var chat engine.Completion
		assert.NilError(t, json.Unmarshal([]byte(payload), &chat))
		if len(chat.Choices) > 0 {
			text += chat.Choices[0].Delta.Content
		}
	}
	return text, false
}

func TestCutStreamLacksTheDoneEvent(t *testing.T) {
	s := start(t, engine.Config{})
	s.Faults.Set(faults.Set{CutRate: 1})
	response, err := http.DefaultClient.Do(chatRequest(t, s.URL(), true, "hello"))
	assert.NilError(t, err)
	defer response.Body.Close()
	text, done := readStream(t, response.Body)
	assert.Assert(t, !done)
	_, err = answer.Parse(text)
	assert.ErrorIs(t, err, answer.ErrIncomplete)
	assert.Equal(t, s.Runs()[0].End, engine.RunCut)
}

func TestCrashMarkerStopsTheEngine(t *testing.T) {
	s := start(t, engine.Config{})
	s.Faults.Set(faults.Set{CrashMarker: "POISON"})
	_, err := http.DefaultClient.Do(chatRequest(t, s.URL(), false, "some POISON"))
	assert.Assert(t, err != nil)
	<-s.Done()
	_, err = http.DefaultClient.Do(chatRequest(t, s.URL(), false, "harmless"))
	assert.Assert(t, err != nil)
}

func TestBadVersionFaultLowersQualityAndMarksRuns(t *testing.T) {
	s := start(t, engine.Config{Profiles: map[string]engine.Profile{ref: {OtherQuality: 1}}})
	call := func() float64 {
		response, err := http.DefaultClient.Do(chatRequest(t, s.URL(), false, "hello"))
		assert.NilError(t, err)
		defer response.Body.Close()
		var chat engine.Completion
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&chat))
		parsed, err := answer.Parse(chat.Choices[0].Message.Content)
		assert.NilError(t, err)
		return parsed.Quality
	}
	assert.Assert(t, call() > 0.9)
	s.Faults.Set(faults.Set{BadVersions: map[string]float64{ref: 1}})
	assert.Assert(t, call() < 0.5)
	runs := s.Runs()
	assert.Assert(t, !runs[0].Faulty)
	assert.Assert(t, runs[1].Faulty)
}

func TestLeavingEngineRefusesNewWork(t *testing.T) {
	s := start(t, engine.Config{})
	s.Drain()
	response, err := http.DefaultClient.Do(chatRequest(t, s.URL(), false, "hello"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(faults.HeaderNotRun), "true")
	assert.Equal(t, len(s.LateRequests()), 1)
	assert.Equal(t, len(s.Runs()), 0)
}

func TestOrderWithOldFencingNumberIsRefused(t *testing.T) {
	s := start(t, engine.Config{ChecksFencing: true})
	order := func(fencing uint64) int {
		body, err := json.Marshal(engine.Order{Fencing: fencing, Action: engine.ActionLoad, Model: "strong", Version: "v1"})
		assert.NilError(t, err)
		response, err := http.Post(s.URL()+"/orders", "application/json", bytes.NewReader(body))
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, order(5), http.StatusNoContent)
	assert.Equal(t, order(4), http.StatusConflict)
	assert.DeepEqual(t, s.Load().Loaded, []string{ref, "strong@v1"})
}

func TestUnframedStreamHasNeitherLengthNorChunks(t *testing.T) {
	s := start(t, engine.Config{})
	s.Faults.Set(faults.Set{Unframed: true})
	response, err := http.DefaultClient.Do(chatRequest(t, s.URL(), true, "hello"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.ContentLength, int64(-1))
	assert.Equal(t, len(response.TransferEncoding), 0)
	_, done := readStream(t, response.Body)
	assert.Assert(t, done)
}
