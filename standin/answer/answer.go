package answer

import (
	"fmt"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Errors of [Parse].
var (
	// ErrNoHeader reports a text that does not start with a valid header.
	ErrNoHeader = eris.New("answer: text has no valid header")
	// ErrIncomplete reports a text whose number of words is not the one in its header.
	ErrIncomplete = eris.New("answer: number of words differs from the header")
	// ErrMixed reports a text that contains words of another answer.
	ErrMixed = eris.New("answer: text contains words of another answer")
)

// Answer holds the fields of the header of a text.
type Answer struct {
	RequestID string
	AttemptID string
	// Ref is the model version, as "model@version", that generated the text.
	Ref string
	// Tokens is the number of words after the header.
	Tokens int
	// Quality is the hidden quality of the text, in [0, 1].
	Quality float64
}

// Header returns the header of the text.
func (a Answer) Header() string {
	return fmt.Sprintf("[req=%s att=%s model=%s tokens=%d q=%.2f]",
		url.QueryEscape(a.RequestID), url.QueryEscape(a.AttemptID), url.QueryEscape(a.Ref), a.Tokens, a.Quality)
}

// Word returns the word at the index, which starts at 0.
func (a Answer) Word(index int) string {
	const alphabetBase = 36
	const vocabularySize = 1 << 20
	sum := xxhash.Sum64String(a.RequestID + "\x00" + a.Ref + "\x00" + strconv.Itoa(index))
	return strconv.FormatUint(sum%vocabularySize, alphabetBase)
}

// Text returns the header and all words.
func (a Answer) Text() string {
	var text strings.Builder
	text.WriteString(a.Header())
	for i := range a.Tokens {
		text.WriteString(" " + a.Word(i))
	}
	return text.String()
}

var headerPattern = regexp.MustCompile(`^\[req=(\S*) att=(\S*) model=(\S*) tokens=(\d+) q=(\d\.\d+)\]`)

// ParseHeader parses the header and ignores the words. The error is [ErrNoHeader].
func ParseHeader(text string) (Answer, error) {
	match := headerPattern.FindStringSubmatch(text)
	if match == nil {
		return Answer{}, ErrNoHeader
	}
	var parsed Answer
	for i, field := range []*string{&parsed.RequestID, &parsed.AttemptID, &parsed.Ref} {
		value, err := url.QueryUnescape(match[i+1])
		if err != nil {
			return Answer{}, ErrNoHeader
		}
		*field = value
	}
	tokens, errTokens := strconv.Atoi(match[4])
	quality, errQuality := strconv.ParseFloat(match[5], 64)
	if errTokens != nil || errQuality != nil {
		return Answer{}, ErrNoHeader
	}
	parsed.Tokens = tokens
	parsed.Quality = quality
	return parsed, nil
}

// Parse parses a text and checks that it is complete. The errors are [ErrNoHeader],
// [ErrIncomplete] and [ErrMixed].
func Parse(text string) (Answer, error) {
	parsed, err := ParseHeader(text)
	if err != nil {
		return Answer{}, err
	}
	words := strings.Fields(strings.TrimPrefix(text, parsed.Header()))
	for i, word := range words {
		if i < parsed.Tokens && word != parsed.Word(i) {
			return parsed, ErrMixed
		}
	}
	if len(words) != parsed.Tokens {
		return parsed, ErrIncomplete
	}
	return parsed, nil
}
