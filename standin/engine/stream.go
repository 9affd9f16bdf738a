package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// stream writes the answer as server-sent events: a frame with the header at
// the first token, frames of [DefaultTokensPerStep] words, one with the finish
// reason, one with the usage if it was asked for, and the end mark.
func (s *Server) stream(ctx context.Context, c echo.Context, j *job) error {
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	response.WriteHeader(http.StatusOK)
	first := Choice{Delta: &Content{Role: roleAnswer, Content: j.answer.Header()}}
	if err := s.send(response, j, first); err != nil {
		return err
	}
	for sent := 0; sent < j.answer.Tokens; {
		next := min(sent+DefaultTokensPerStep, j.answer.Tokens)
		if err := s.Faults.Sleep(ctx, s.tokenTime(j, next-sent)); err != nil {
			return err
		}
		if j.cutAfter >= 0 && next > j.cutAfter {
			return errCut
		}
		if err := s.send(response, j, j.piece(sent, next)); err != nil {
			return err
		}
		sent = next
	}
	return s.finish(response, j)
}

func (j *job) piece(from, to int) Choice {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(" " + j.answer.Word(i))
	}
	choice := Choice{Delta: &Content{Content: text.String()}}
	if j.request.Logprobs {
		choice.Logprobs = j.logprobs(from, to)
	}
	return choice
}

func (s *Server) finish(response *echo.Response, j *job) error {
	if err := s.send(response, j, Choice{Delta: &Content{}, FinishReason: &finished}); err != nil {
		return err
	}
	if j.request.StreamOptions.IncludeUsage {
		chat := s.frame(j, objectFrame)
		chat.Usage = j.usage()
		if err := write(response, chat); err != nil {
			return err
		}
	}
	return writeData(response, []byte("[DONE]"))
}

func (s *Server) send(response *echo.Response, j *job, choice Choice) error {
	chat := s.frame(j, objectFrame)
	chat.Choices = []Choice{choice}
	return write(response, chat)
}

func write(response *echo.Response, chat Chat) error {
	data, err := json.Marshal(chat)
	if err != nil {
		return err
	}
	return writeData(response, data)
}

func writeData(response *echo.Response, data []byte) error {
	frame := append(append([]byte("data: "), data...), "\n\n"...)
	if _, err := response.Write(frame); err != nil {
		return err
	}
	response.Flush()
	return nil
}
