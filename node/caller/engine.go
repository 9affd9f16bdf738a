package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/outcome"
	"github.com/wigeonusher/wigeonusher/node/relay"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/wire/engine"
	"github.com/wigeonusher/wigeonusher/wire/openai"
)

// minSilenceTimeout is the lower bound of [silenceTimeout].
const minSilenceTimeout = 100 * time.Millisecond

// chatEndpoints is the [relay.Endpoints] of a chat request.
type chatEndpoints struct{ work *chatWork }

// Send implements [relay.Endpoints]. The answer of each step but the last is
// buffered until it is complete, because its confidence is known only then.
func (e *chatEndpoints) Send(ctx context.Context, call *relay.Call, deadline time.Time) (*relay.Answer, error) {
	work := e.work
	ref := work.picker.ref
	work.usage.partialFrames = 0
	var sent outcome.Attempt
	stream, err := work.server.Engines.Chat(ctx, engine.Call{
		Address:         call.Address,
		RequestID:       work.request.id,
		AttemptID:       work.server.attemptID(),
		Model:           ref.String(),
		Priority:        work.request.priority,
		Request:         work.request.body,
		ProgressTimeout: silenceTimeout(deadline),
	}, &sent)
	if err != nil {
		work.picker.current.failure = err
		return classifySendError(&sent, err)
	}
	body := &chatBody{work: work, stream: stream, ref: ref}
	answer := &relay.Answer{
		Status:    http.StatusOK,
		Header:    http.Header{HeaderModel: {ref.String()}},
		Authentic: true,
		Body:      body,
	}
	if work.plan.isLast(call.Model) {
		return answer, nil
	}
	if err := body.readAll(); err != nil {
		body.Close()
		return nil, &relay.SendError{MayBeSent: true, Err: err}
	}
	answer.Complete = true
	answer.Confidence, answer.HasConfidence = stream.Answer().Confidence(), true
	return answer, nil
}

// silenceTimeout returns the time without a frame after which a dispatch is
// abandoned: half of the remaining time, so that an unresponsive connection leaves
// time for another endpoint.
func silenceTimeout(deadline time.Time) time.Duration {
	return max(minSilenceTimeout, time.Until(deadline)/2)
}

// classifySendError converts the error of a dispatch to the result that the relay
// expects: for a refusal by the endpoint, an answer marked as not executed.
func classifySendError(sent *outcome.Attempt, err error) (*relay.Answer, error) {
	if eris.Is(err, engine.ErrRefused) {
		return &relay.Answer{NotExecuted: true, Body: emptyBody{}}, nil
	}
	return nil, &relay.SendError{MayBeSent: sent.MayBeSent(), Err: err}
}

// chatBody converts an engine's answer to events for the caller, or to a
// single completion if the caller did not ask for a stream.
type chatBody struct {
	work     *chatWork
	stream   Stream
	ref      document.Ref
	pending  bytes.Buffer
	complete bool
}

// Read implements [relay.Body].
func (b *chatBody) Read(p []byte) (int, error) {
	for b.pending.Len() == 0 {
		if b.complete {
			return 0, io.EOF
		}
		if err := b.readFrame(); err != nil {
			return 0, err
		}
	}
	return b.pending.Read(p)
}

// readAll reads the answer to its end and buffers it.
func (b *chatBody) readAll() error {
	for !b.complete {
		if err := b.readFrame(); err != nil {
			return err
		}
	}
	return nil
}

// readFrame reads the engine's next frame. It adds the frame to the pending events
// if the caller asked for a stream, and finishes the answer after the last frame.
func (b *chatBody) readFrame() error {
	chunk, err := b.stream.Next()
	switch {
	case errors.Is(err, io.EOF):
		return b.finish()
	case err != nil:
		b.work.picker.current.failure = err
		return err
	}
	b.work.usage.partialRef = b.ref
	b.work.usage.partialFrames++
	if !b.work.request.body.Stream {
		return nil
	}
	return b.addEvent(chunk)
}

func (b *chatBody) addEvent(chunk *openai.Chunk) error {
	chunk.ID, chunk.Model = b.work.request.id, b.ref.String()
	encoded, err := json.Marshal(chunk)
	if err != nil {
		return eris.Wrap(err, "caller: encode a frame")
	}
	b.pending.Write(sseEvent(encoded))
	return nil
}

// finish records the complete answer, and encodes it if it is not streamed.
func (b *chatBody) finish() error {
	b.complete = true
	b.work.recordAnswer(b.ref, b.stream.Answer())
	if b.work.request.body.Stream {
		return nil
	}
	completion, err := b.stream.Answer().EncodeCompletion(b.work.request.id, b.ref.String())
	if err != nil {
		return err
	}
	b.pending.Write(completion)
	return nil
}

// SetReadDeadline implements [relay.Body]. It does nothing: the engine client
// bounds the time between frames, and the request's context the total.
func (*chatBody) SetReadDeadline(time.Time) error { return nil }

// Close implements [relay.Body].
func (b *chatBody) Close() error {
	b.stream.Close()
	return nil
}

// emptyBody is a [relay.Body] without content.
type emptyBody struct{}

// Read implements [relay.Body].
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// SetReadDeadline implements [relay.Body].
func (emptyBody) SetReadDeadline(time.Time) error { return nil }

// Close implements [relay.Body].
func (emptyBody) Close() error { return nil }
