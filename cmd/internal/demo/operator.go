package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/control"
	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/wire/platformhttp"
)

const (
	operatorName   = "demo-operator"
	publishTimeout = 5 * time.Second
)

// operator publishes sections as an operator does with the wigeonusher tool.
type operator struct {
	reader        *control.Reader
	proposalCount int
}

func newOperator(logURL string) *operator {
	client := &http.Client{Timeout: publishTimeout}
	return &operator{reader: control.NewReader(platformhttp.NewLog(logURL, client))}
}

// publish replaces a section and fails unless the proposal is accepted.
func (o *operator) publish(ctx context.Context, name config.SectionName, body any, reason string) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "demo: encode section")
	}
	if err := o.reader.CatchUp(ctx); err != nil {
		return err
	}
	o.proposalCount++
	verdict, err := o.reader.Publish(ctx, entryID(o.proposalCount), config.Proposal{
		Section: name,
		Base:    o.reader.Document().Base(name),
		Author:  operatorName,
		Reason:  reason,
		Body:    encoded,
	})
	if err != nil {
		return err
	}
	if verdict.Result != config.Accepted {
		return eris.Errorf("demo: proposal for section %s was %s: %v", name, verdict.Result, verdict.Findings)
	}
	return nil
}

// automaticEvents returns the audit events of entries that instances wrote
// without an operator's proposal.
func (o *operator) automaticEvents(ctx context.Context) ([]control.Event, error) {
	if err := o.reader.CatchUp(ctx); err != nil {
		return nil, err
	}
	isProposal := func(event control.Event) bool { return event.IsProposal() }
	return slices.DeleteFunc(append([]control.Event{}, o.reader.Events()...), isProposal), nil
}

// entryID returns an ID that is unique across runs. The argument count, the number
// of the proposal, distinguishes the proposals of one run.
func entryID(count int) string {
	return operatorName + "/" + time.Now().UTC().Format(time.RFC3339Nano) + "/" + string(rune('a'+count))
}
