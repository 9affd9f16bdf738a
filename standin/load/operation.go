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
	vocabularySize = 4096
	preambleWords  = 48 // length of the prefix shared by all prompts of an account and class
)

// message is an element of a chat request's "messages" array.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// operation is one logical request of a caller, sent in one or more attempts.
type operation struct {
	id      string
	account Account
	kind    observation.Kind
	class   Class
	// messages, tokens and session, like class above, are set for chat requests
	// only. tokens is the answer's length; session is nil outside a session.
	messages []message
	tokens   int
	session  *session
	key      string // idempotency key of a booking
	marked   bool
}

// session is the state of one chat session of a virtual user.
type session struct {
	id             string
	token          string // session token of the last reply
	account        Account
	class          Class
	messages       []message
	remainingTurns int
}

// generator creates the operations of one virtual user, or of the open loop. It
// is not safe for concurrent use.
type generator struct {
	mix     *Mix
	name    string
	random  *rand.Rand
	count   int      // operations created so far
	session *session // open session; nil if there is none
}

func newGenerator(mix *Mix, number int) *generator {
	return &generator{
		mix:    mix,
		name:   fmt.Sprintf("%ss%d-u%d", mix.Run, mix.Seed, number),
		random: rand.New(rand.NewPCG(mix.Seed, uint64(number))),
	}
}

// next creates the next operation: a turn of the open session, a service call
// or a new chat request. A marked operation is a chat request outside any
// session, with the mix's marker text in its prompt.
func (g *generator) next(marked bool) *operation {
	g.count++
	id := g.name + "-" + strconv.Itoa(g.count)
	if g.session != nil && !marked {
		return g.nextTurn(id)
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
		g.session = &session{id: id, account: op.account, class: op.class, remainingTurns: g.mix.SessionTurns}
		g.addTurn(op)
	}
	return op
}

func (g *generator) serviceCall(id string, service *Service) *operation {
	op := &operation{id: id, account: g.pickAccount(), kind: observation.Booking, key: "key-" + id}
	if g.random.Float64() < service.ReadShare {
		op.kind = observation.Read
		op.key = ""
	}
	return op
}

func (g *generator) chat(id string) *operation {
	account := g.pickAccount()
	class := g.pickClass()
	return &operation{
		id:      id,
		account: account,
		kind:    g.chatKind(class),
		class:   class,
		tokens:  g.randomInt(class.AnswerTokens),
		messages: []message{
			{Role: "system", Content: preamble(account.ID, class.Name)},
			{Role: "user", Content: g.prompt(class)},
		},
	}
}

// nextTurn creates the next operation of the open session.
func (g *generator) nextTurn(id string) *operation {
	current := g.session
	op := &operation{
		id:       id,
		account:  current.account,
		kind:     g.chatKind(current.class),
		class:    current.class,
		tokens:   g.randomInt(current.class.AnswerTokens),
		messages: append(append([]message{}, current.messages...), message{Role: "user", Content: g.prompt(current.class)}),
	}
	g.addTurn(op)
	return op
}

// addTurn adds the operation to the open session and closes the session after
// its last turn.
func (g *generator) addTurn(op *operation) {
	op.session = g.session
	g.session.messages = op.messages
	g.session.remainingTurns--
	if g.session.remainingTurns <= 0 {
		g.session = nil
	}
}

// endSession closes the open session if the operation belongs to it.
func (g *generator) endSession(op *operation) {
	if g.session == op.session {
		g.session = nil
	}
}

func (g *generator) chatKind(class Class) observation.Kind {
	if g.random.Float64() < class.StreamShare {
		return observation.Stream
	}
	return observation.NonStreaming
}

func (g *generator) pickAccount() Account {
	weights := make([]float64, len(g.mix.Accounts))
	for i, account := range g.mix.Accounts {
		weights[i] = account.Weight
	}
	return g.mix.Accounts[g.pickWeighted(weights)]
}

func (g *generator) pickClass() Class {
	weights := make([]float64, len(g.mix.Classes))
	for i, class := range g.mix.Classes {
		weights[i] = class.Weight
	}
	return g.mix.Classes[g.pickWeighted(weights)]
}

// pickWeighted returns a random index, with a probability proportional to the
// weight at that index.
func (g *generator) pickWeighted(weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	remaining := g.random.Float64() * total
	for i, weight := range weights {
		remaining -= weight
		if remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// randomInt returns a random integer of the range, both ends included.
func (g *generator) randomInt(r Range) int { return r.Min + g.random.IntN(r.Max-r.Min+1) }

func (g *generator) prompt(class Class) string {
	words := make([]string, 0, class.PromptWords.Max+1)
	words = append(words, engine.ClassMark(class.Name))
	for range g.randomInt(class.PromptWords) {
		words = append(words, word(g.random.IntN(vocabularySize)))
	}
	return strings.Join(words, " ")
}

// preamble returns the text that all prompts of an account and class begin
// with, so that engines can reuse their prefix caches.
func preamble(account, class string) string {
	words := make([]string, 0, preambleWords)
	for i := range preambleWords {
		words = append(words, account+"."+class+"."+strconv.Itoa(i))
	}
	return strings.Join(words, " ")
}

func word(index int) string {
	const base = 36
	return "w" + strconv.FormatInt(int64(index), base)
}
