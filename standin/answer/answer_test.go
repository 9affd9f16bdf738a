package answer_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wigeonusher/wigeonusher/standin/answer"
)

func draw(t *rapid.T) answer.Answer {
	return answer.Answer{
		RequestID: rapid.String().Draw(t, "request"),
		AttemptID: rapid.String().Draw(t, "attempt"),
		Ref:       rapid.StringMatching(`[a-z]{1,8}@v[0-9]`).Draw(t, "ref"),
		Tokens:    rapid.IntRange(0, 40).Draw(t, "tokens"),
	}
}

func TestTextTellsItsAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := draw(t)
		parsed, err := answer.Parse(own.Text())
		assert.NilError(t, err)
		assert.Equal(t, parsed, own)
	})
}

// A text that lost its end, or whose words come from another answer from some
// word on, is found out.
func TestDamageIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own, other := draw(t), draw(t)
		own.Tokens = max(own.Tokens, 8)
		other.Tokens = own.Tokens
		if own.RequestID == other.RequestID && own.Ref == other.Ref {
			t.Skip("the same answer")
		}
		words := strings.Fields(strings.TrimPrefix(own.Text(), own.Header()))
		kept := rapid.IntRange(0, own.Tokens-4).Draw(t, "kept")
		cut := own.Header() + " " + strings.Join(words[:kept], " ")
		_, err := answer.Parse(cut)
		assert.ErrorIs(t, err, answer.ErrIncomplete)
		for i := kept; i < own.Tokens; i++ {
			cut += " " + other.Word(i)
		}
		_, err = answer.Parse(cut)
		assert.ErrorIs(t, err, answer.ErrMixed)
	})
}
