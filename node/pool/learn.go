package pool

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/latency"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// FirstEvent returns the usual time to a model's first event for a prompt of
// so many tokens, 0 if unknown.
func (p *Pool) FirstEvent(model route.ModelName, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expect(model, tokens)
}

func (p *Pool) expect(model route.ModelName, tokens int) time.Duration {
	if line := p.firstEvents[model]; line != nil {
		return line.Expect(tokens)
	}
	return 0
}

func (p *Pool) reading(model route.ModelName, tokens int) time.Duration {
	if line := p.firstEvents[model]; line != nil {
		return line.Reading(tokens)
	}
	return 0
}

func (p *Pool) learn(model route.ModelName, tokens int, took time.Duration) {
	line := p.firstEvents[model]
	if line == nil {
		line = &latency.Line{}
		p.firstEvents[model] = line
	}
	line.Add(tokens, took)
}

// Pace returns the usual mean time from event to event of a model's streams,
// 0 if unknown.
func (p *Pool) Pace(model route.ModelName) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paces[model]
}

// LearnPace takes in the mean time from event to event of a stream.
func (p *Pool) LearnPace(model route.ModelName, pace time.Duration) {
	const weight = 0.02 // of the newest stream: the mean outlives a short burst
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, ok := p.paces[model]
	if !ok {
		p.paces[model] = pace
		return
	}
	p.paces[model] = usual + time.Duration(weight*float64(pace-usual))
}
