// Package control holds the state that an instance folds from the control
// stream, and publishes the policy in force as one snapshot that is swapped
// whole.
package control

import (
	"sync"
	"sync/atomic"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Control is the state of the control stream. Its methods may be called from
// several goroutines.
type Control struct {
	mu     sync.Mutex
	stream *fold.Stream
	config *config.Fold

	policy atomic.Pointer[document.Policy]
}

// New returns the state at the start of the stream. onVerdict is called for
// every verdict on a proposal, in order.
func New(onVerdict func(config.Verdict)) *Control {
	c := &Control{config: config.NewFold(document.Validate, onVerdict)}
	c.stream = fold.NewStream(c.config)
	return c
}

// Policy returns the policy in force, nil before the first.
func (c *Control) Policy() *document.Policy { return c.policy.Load() }

// Next returns the offset wanted next.
func (c *Control) Next() platform.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream.Next()
}

// Apply folds records. Records that are not the next one are ignored.
func (c *Control) Apply(records []platform.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		c.stream.Apply(record)
	}
	c.publish()
}

// publish swaps the policy if the document has moved on. A document in force
// has passed the same check, so it always parses.
func (c *Control) publish() {
	document := c.config.Document()
	current := c.policy.Load()
	if document.Revision == 0 || (current != nil && current.Revision == document.Revision) {
		return
	}
	c.swap(document)
}

func (c *Control) swap(doc *config.Document) {
	policy, findings := document.Parse(doc)
	if len(findings) > 0 {
		return
	}
	c.policy.Store(policy)
}
