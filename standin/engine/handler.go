package engine

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/standin/answer"
	"github.com/wigeonusher/wigeonusher/standin/faults"
	"github.com/wigeonusher/wigeonusher/standin/server"
)

const (
	defaultAnswerTokens = 32
	maxAnswerTokens     = 100_000
)

// errCut reports that the fault CutRate ended a stream early.
var errCut = errors.New("engine: stream cut by a fault")

// job is a request that occupies a slot.
type job struct {
	request         ChatRequest
	answer          answer.Answer
	profile         Profile
	prompt          string
	promptWords     int
	cutAfter        int        // maximum number of tokens sent before a fault cuts the stream; negative if none does
	random          *rand.Rand // see newRandom
	meanProbability float64    // of the tokens of the answer
}

func (s *Server) handleChat(c echo.Context) error {
	received := s.config.Now()
	var request ChatRequest
	if err := server.Decode(c, &request); err != nil {
		return err
	}
	if refusal := s.refusal(c, request); refusal != "" {
		return faults.Refuse(c, refusal)
	}
	ctx := c.Request().Context()
	priority, _ := strconv.Atoi(c.Request().Header.Get(HeaderPriority))
	if err := s.scheduler.acquire(ctx, priority); err != nil {
		if errors.Is(err, errQueueFull) {
			return faults.Refuse(c, "queue full")
		}
		return err
	}
	defer s.scheduler.release()
	j, faulty := s.newJob(c, request)
	run := s.ledger.start(Run{
		Endpoint:  s.config.Identity.ID,
		RequestID: j.answer.RequestID,
		AttemptID: j.answer.AttemptID,
		Ref:       request.Model,
		Received:  received,
		Started:   s.config.Now(),
		Quality:   j.answer.Quality,
		Faulty:    faulty,
	})
	err := s.generate(ctx, c, j)
	s.ledger.end(run, runEnd(err))
	if errors.Is(err, errCut) || errors.Is(err, faults.ErrClosed) {
		panic(http.ErrAbortHandler)
	}
	return err
}

// runEnd returns the [RunEnd] of a run from the error that its generation returned.
func runEnd(err error) RunEnd {
	switch {
	case err == nil:
		return RunDone
	case errors.Is(err, errCut), errors.Is(err, faults.ErrClosed):
		return RunCut
	default:
		return RunCancelled
	}
}

// refusal returns the reason to refuse the request, or "". It records the request
// if the engine is leaving.
func (s *Server) refusal(c echo.Context, request ChatRequest) string {
	if s.RefuseIfLeaving(c.Request().Header.Get(HeaderRequestID)) {
		return "leaving"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded[request.Model] {
		return "model version not loaded"
	}
	return ""
}

// newJob returns the job of a request, and whether the fault bad_versions applies
// to its model version.
func (s *Server) newJob(c echo.Context, request ChatRequest) (*job, bool) {
	header := c.Request().Header
	prompt := request.prompt()
	tokens := request.MaxTokens
	if tokens <= 0 {
		tokens = defaultAnswerTokens
	}
	j := &job{
		request:     request,
		profile:     s.config.profile(request.Model),
		prompt:      prompt,
		promptWords: len(strings.Fields(prompt)),
		cutAfter:    -1,
		answer: answer.Answer{
			RequestID: header.Get(HeaderRequestID),
			AttemptID: header.Get(HeaderAttemptID),
			Ref:       request.Model,
			Tokens:    min(tokens, maxAnswerTokens),
		},
	}
	j.random = s.newRandom(j.answer)
	faulty := s.decideQuality(j, taskClass(prompt))
	if request.Stream && s.Faults.Draw(s.Faults.Get().CutRate) {
		j.cutAfter = j.answer.Tokens / 2
	}
	return j, faulty
}

// newRandom returns the random source of a request on a model version. It is the
// same on all engines with the same seed.
func (s *Server) newRandom(a answer.Answer) *rand.Rand {
	sum := xxhash.Sum64String(a.RequestID + "\x00" + a.Ref)
	return rand.New(rand.NewPCG(s.config.Seed, sum))
}

// decideQuality sets the quality and the mean token probability of the answer, and
// reports whether the fault bad_versions applies to its model version.
func (s *Server) decideQuality(j *job, class string) bool {
	const (
		goodMean = 0.88
		badMean  = 0.62
		spread   = 0.08
	)
	goodShare, ok := j.profile.Quality[class]
	if !ok {
		goodShare = j.profile.OtherQuality
	}
	good := j.random.Float64() < goodShare
	j.answer.Quality = drawQuality(j.random, good)
	mean := badMean
	if good {
		mean = goodMean
	}
	badShare, faulty := s.Faults.Get().BadVersions[j.answer.Ref]
	if faulty && j.random.Float64() < badShare {
		j.answer.Quality = drawQuality(j.random, false)
		mean = goodMean
	}
	j.meanProbability = min(max(mean+j.random.NormFloat64()*spread, 0.05), 0.99)
	return faulty
}

// drawQuality returns a quality in [0.96, 1) for good answers and in [0, 0.4) for
// bad ones.
func drawQuality(random *rand.Rand, good bool) float64 {
	if good {
		return 0.96 + 0.04*random.Float64()
	}
	return 0.4 * random.Float64()
}

// nextLogprob returns the log probability of the next token.
func (j *job) nextLogprob() float64 {
	const spread = 0.03
	probability := j.meanProbability + j.random.NormFloat64()*spread
	return math.Log(min(max(probability, 0.01), 0.999))
}

func (j *job) usage() *Usage {
	return &Usage{
		PromptTokens:     j.promptWords,
		CompletionTokens: j.answer.Tokens,
		TotalTokens:      j.promptWords + j.answer.Tokens,
	}
}

// generate simulates the generation of the answer and writes it.
func (s *Server) generate(ctx context.Context, c echo.Context, j *job) error {
	uncachedShare := 1 - float64(s.cache.store(j.prompt))/float64(max(1, len(j.prompt)))
	prefill := time.Duration(uncachedShare * float64(j.promptWords) * float64(j.profile.PrefillPerToken))
	if err := s.Faults.Sleep(ctx, j.profile.FirstToken+prefill); err != nil {
		return err
	}
	if j.request.Stream {
		return s.writeStream(ctx, c, j)
	}
	return s.writeCompletion(ctx, c, j)
}

// generationTime returns the time to generate a number of tokens at the current
// load.
func (s *Server) generationTime(j *job, tokens int) time.Duration {
	running, _ := s.scheduler.counts()
	slowdown := j.profile.BatchSlowdown * float64(running-1) / float64(s.config.Slots)
	return time.Duration(float64(j.profile.PerToken) * (1 + slowdown) * float64(tokens))
}

// writeCompletion writes the answer as one JSON body after the time that it takes to
// generate all tokens.
func (s *Server) writeCompletion(ctx context.Context, c echo.Context, j *job) error {
	if err := s.Faults.Sleep(ctx, s.generationTime(j, j.answer.Tokens)); err != nil {
		return err
	}
	choice := Choice{
		Message:      &Content{Role: roleAssistant, Content: j.answer.Text()},
		FinishReason: &finishReasonStop,
	}
	if j.request.Logprobs {
		choice.Logprobs = j.logprobs(0, j.answer.Tokens)
	}
	completion := s.newCompletion(j, objectCompletion)
	completion.Choices = []Choice{choice}
	completion.Usage = j.usage()
	return c.JSON(http.StatusOK, completion)
}

// newCompletion returns an answer or chunk of the given object type without choices.
func (s *Server) newCompletion(j *job, object string) Completion {
	return Completion{
		ID:      j.answer.AttemptID,
		Object:  object,
		Created: s.config.Now().Unix(),
		Model:   j.answer.Ref,
		Choices: []Choice{},
	}
}

func (j *job) logprobs(from, to int) *Logprobs {
	content := make([]TokenLogprob, 0, to-from)
	for i := from; i < to; i++ {
		content = append(content, TokenLogprob{Token: " " + j.answer.Word(i), Logprob: j.nextLogprob()})
	}
	return &Logprobs{Content: content}
}
