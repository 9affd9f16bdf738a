package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

const (
	vocabulary   = 4096
	preambleSize = 48 // words that all prompts of an account and class begin with
)

// message is one message of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// operation is one request that a caller means to have answered.
type operation struct {
	id      string
	account Account
	kind    observation.Kind
	class   Class
	// messages, tokens and session belong to chat requests.
	messages []message
	tokens   int
	session  *session
	key      string // of a booking
	marked   bool
}

// session is a conversation that a virtual user holds.
type session struct {
	id       string
	token    string // of the last reply
	account  Account
	class    Class
	messages []message
	turns    int // left
}

// generator makes the operations of one virtual user, or of one stream of arrivals.
type generator struct {
	mix    *Mix
	name   string
	random *rand.Rand
	asked  int
	open   *session
}

func newGenerator(mix *Mix, number int) *generator {
	return &generator{
		mix:    mix,
		name:   fmt.Sprintf("%ss%d-u%d", mix.Run, mix.Seed, number),
		random: rand.New(rand.NewPCG(mix.Seed, uint64(number))),
	}
}

// next makes an operation. marked tells that it carries the mix's mark.
func (g *generator) next(marked bool) *operation {
	g.asked++
	id := g.name + "-" + strconv.Itoa(g.asked)
	if g.open != nil && !marked {
		return g.continued(id)
	}
	if service := g.mix.Service; !marked && service != nil && g.random.Float64() < service.Share {
		return g.serviceCall(id, service)
	}
	op := g.chat(id)
	if marked {
		op.marked = true
		op.messages[len(op.messages)-1].Content += " " + g.mix.Marked.Text
		return op
	}
	if g.random.Float64() < g.mix.SessionShare {
		g.open = &session{id: id, account: op.account, class: op.class, turns: g.mix.SessionTurns}
		g.join(op)
	}
	return op
}

func (g *generator) serviceCall(id string, service *Service) *operation {
	op := &operation{id: id, account: g.account(), kind: observation.Booking, key: "key-" + id}
	if g.random.Float64() < service.ReadShare {
		op.kind = observation.Read
		op.key = ""
	}
	return op
}

func (g *generator) chat(id string) *operation {
	account := g.account()
	class := g.class()
	return &operation{
		id:      id,
		account: account,
		kind:    g.chatKind(class),
		class:   class,
		tokens:  g.between(class.AnswerTokens),
		messages: []message{
			{Role: "system", Content: preamble(account.ID, class.Name)},
			{Role: "user", Content: g.prompt(class)},
		},
	}
}

// continued makes the next operation of the open session.
func (g *generator) continued(id string) *operation {
	open := g.open
	op := &operation{
		id:       id,
		account:  open.account,
		kind:     g.chatKind(open.class),
		class:    open.class,
		tokens:   g.between(open.class.AnswerTokens),
		messages: append(append([]message{}, open.messages...), message{Role: "user", Content: g.prompt(open.class)}),
	}
	g.join(op)
	return op
}

// join makes the operation a turn of the open session.
func (g *generator) join(op *operation) {
	op.session = g.open
	g.open.messages = op.messages
	g.open.turns--
	if g.open.turns <= 0 {
		g.open = nil
	}
}

// leave ends the open session, if it is the operation's.
func (g *generator) leave(op *operation) {
	if g.open == op.session {
		g.open = nil
	}
}

func (g *generator) chatKind(class Class) observation.Kind {
	if g.random.Float64() < class.StreamShare {
		return observation.Stream
	}
	return observation.Whole
}

func (g *generator) account() Account {
	weights := make([]float64, len(g.mix.Accounts))
	for i, account := range g.mix.Accounts {
		weights[i] = account.Weight
	}
	return g.mix.Accounts[g.pick(weights)]
}

func (g *generator) class() Class {
	weights := make([]float64, len(g.mix.Classes))
	for i, class := range g.mix.Classes {
		weights[i] = class.Weight
	}
	return g.mix.Classes[g.pick(weights)]
}

// pick draws an index with a probability proportional to its weight.
func (g *generator) pick(weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	left := g.random.Float64() * total
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (g *generator) between(r Range) int { return r.Min + g.random.IntN(r.Max-r.Min+1) }

func (g *generator) prompt(class Class) string {
	words := make([]string, 0, class.PromptWords.Max+1)
	words = append(words, engine.ClassMark(class.Name))
	for range g.between(class.PromptWords) {
		words = append(words, word(g.random.IntN(vocabulary)))
	}
	return strings.Join(words, " ")
}

// preamble is the text that all prompts of an account and class begin with.
func preamble(account, class string) string {
	words := make([]string, 0, preambleSize)
	for i := range preambleSize {
		words = append(words, account+"."+class+"."+strconv.Itoa(i))
	}
	return strings.Join(words, " ")
}

func word(index int) string {
	const base = 36
	return "w" + strconv.FormatInt(int64(index), base)
}
