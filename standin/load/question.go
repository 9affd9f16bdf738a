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

// question is one request that a caller means to have answered.
type question struct {
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

// asker makes the questions of one virtual user, or of one stream of arrivals.
type asker struct {
	mix    *Mix
	name   string
	random *rand.Rand
	asked  int
	open   *session
}

func newAsker(mix *Mix, number int) *asker {
	return &asker{
		mix:    mix,
		name:   fmt.Sprintf("%ss%d-u%d", mix.Run, mix.Seed, number),
		random: rand.New(rand.NewPCG(mix.Seed, uint64(number))),
	}
}

// next makes a question. marked tells that it carries the mix's mark.
func (a *asker) next(marked bool) *question {
	a.asked++
	id := a.name + "-" + strconv.Itoa(a.asked)
	if a.open != nil && !marked {
		return a.continued(id)
	}
	if service := a.mix.Service; !marked && service != nil && a.random.Float64() < service.Share {
		return a.serviceCall(id, service)
	}
	q := a.chat(id)
	if marked {
		q.marked = true
		q.messages[len(q.messages)-1].Content += " " + a.mix.Marked.Text
		return q
	}
	if a.random.Float64() < a.mix.SessionShare {
		a.open = &session{id: id, account: q.account, class: q.class, turns: a.mix.SessionTurns}
		a.join(q)
	}
	return q
}

func (a *asker) serviceCall(id string, service *Service) *question {
	q := &question{id: id, account: a.account(), kind: observation.Booking, key: "key-" + id}
	if a.random.Float64() < service.ReadShare {
		q.kind = observation.Read
		q.key = ""
	}
	return q
}

func (a *asker) chat(id string) *question {
	account := a.account()
	class := a.class()
	return &question{
		id:      id,
		account: account,
		kind:    a.chatKind(class),
		class:   class,
		tokens:  a.between(class.AnswerTokens),
		messages: []message{
			{Role: "system", Content: preamble(account.ID, class.Name)},
			{Role: "user", Content: a.prompt(class)},
		},
	}
}

// continued asks the next question of the open session.
func (a *asker) continued(id string) *question {
	open := a.open
	q := &question{
		id:       id,
		account:  open.account,
		kind:     a.chatKind(open.class),
		class:    open.class,
		tokens:   a.between(open.class.AnswerTokens),
		messages: append(append([]message{}, open.messages...), message{Role: "user", Content: a.prompt(open.class)}),
	}
	a.join(q)
	return q
}

// join makes the question a turn of the open session.
func (a *asker) join(q *question) {
	q.session = a.open
	a.open.messages = q.messages
	a.open.turns--
	if a.open.turns <= 0 {
		a.open = nil
	}
}

// leave ends the open session, if it is the question's.
func (a *asker) leave(q *question) {
	if a.open == q.session {
		a.open = nil
	}
}

func (a *asker) chatKind(class Class) observation.Kind {
	if a.random.Float64() < class.StreamShare {
		return observation.Stream
	}
	return observation.Whole
}

func (a *asker) account() Account {
	weights := make([]float64, len(a.mix.Accounts))
	for i, account := range a.mix.Accounts {
		weights[i] = account.Weight
	}
	return a.mix.Accounts[a.pick(weights)]
}

func (a *asker) class() Class {
	weights := make([]float64, len(a.mix.Classes))
	for i, class := range a.mix.Classes {
		weights[i] = class.Weight
	}
	return a.mix.Classes[a.pick(weights)]
}

// pick draws an index with a probability proportional to its weight.
func (a *asker) pick(weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	left := a.random.Float64() * total
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (a *asker) between(r Range) int { return r.Min + a.random.IntN(r.Max-r.Min+1) }

func (a *asker) prompt(class Class) string {
	words := make([]string, 0, class.PromptWords.Max+1)
	words = append(words, engine.ClassMark(class.Name))
	for range a.between(class.PromptWords) {
		words = append(words, word(a.random.IntN(vocabulary)))
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
