package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Writer is the instance ID in the entries that operators append.
const Writer platform.InstanceID = "wigeonusher-tool"

const retryDelay = 250 * time.Millisecond

// Errors of [Reader.Publish].
var (
	// ErrNotPublished reports a proposal that is certainly not in the log.
	ErrNotPublished = eris.New("control: log unavailable, nothing was published")
	// ErrOutcomeUnknown reports a proposal that may be in the log or may still be
	// appended to it.
	ErrOutcomeUnknown = eris.New("control: log unavailable, the proposal may or may not have been published")
)

// Check returns the verdict that the proposal would get directly after the
// records read so far. It neither reads the log nor publishes anything.
func (r *Reader) Check(proposal config.Proposal) (config.Verdict, error) {
	var verdict config.Verdict
	scratch := config.NewFold(document.Validate, func(v config.Verdict) { verdict = v })
	if doc := r.Document(); doc.Revision > 0 {
		state, err := r.fold.Snapshot()
		if err != nil {
			return verdict, err
		}
		if err := scratch.Restore(state); err != nil {
			return verdict, err
		}
	}
	entry, err := platform.NewEntry("check", config.KindProposal, Writer, proposal)
	if err != nil {
		return verdict, err
	}
	scratch.Apply(platform.Position{Offset: r.stream.Next()}, entry)
	return verdict, nil
}

// Publish appends the proposal under the entry ID and returns the verdict that
// every instance reaches on it. It retries until the verdict is known or the
// context ends. If the context ends, the error is [ErrNotPublished] or
// [ErrOutcomeUnknown].
func (r *Reader) Publish(ctx context.Context, entryID string, proposal config.Proposal) (config.Verdict, error) {
	entry, err := platform.NewEntry(entryID, config.KindProposal, Writer, proposal)
	if err != nil {
		return config.Verdict{}, err
	}
	payload, err := platform.EncodeEntries([]platform.Entry{entry})
	if err != nil {
		return config.Verdict{}, err
	}
	appended, maybeAppended := false, false
	for {
		if !appended {
			_, err := r.log.Append(ctx, platform.StreamControl, payload)
			appended = err == nil
			maybeAppended = maybeAppended || !eris.Is(err, platform.ErrUnavailable)
		}
		// Read the stream for the verdict. If an append got no answer and the
		// stream lacks the entry, append the entry again under the same ID: the
		// fold applies only the first entry of an ID.
		if maybeAppended && r.CatchUp(ctx) == nil {
			if verdict, ok := r.Verdict(entryID); ok {
				return verdict, nil
			}
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return config.Verdict{}, publishError(maybeAppended)
		}
	}
}

func publishError(maybeAppended bool) error {
	if maybeAppended {
		return ErrOutcomeUnknown
	}
	return ErrNotPublished
}
