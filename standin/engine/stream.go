package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// writeStream writes the answer as server-sent events: a chunk with the header of
// the text, chunks of up to [TokensPerChunk] words, a chunk with the finish reason,
// a chunk with the usage if requested, and "[DONE]".
func (s *Server) writeStream(ctx context.Context, c echo.Context, j *job) error {
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	response.WriteHeader(http.StatusOK)
	first := Choice{Delta: &Content{Role: roleAssistant, Content: j.answer.Header()}}
	if err := s.writeChunk(response, j, first); err != nil {
		return err
	}
	for sent := 0; sent < j.answer.Tokens; {
		next := min(sent+TokensPerChunk, j.answer.Tokens)
		if err := s.Faults.Sleep(ctx, s.generationTime(j, next-sent)); err != nil {
			return err
		}
		if j.cutAfter >= 0 && next > j.cutAfter {
			return errCut
		}
		if err := s.writeChunk(response, j, j.chunk(sent, next)); err != nil {
			return err
		}
		sent = next
	}
	return s.writeEnd(response, j)
}

// chunk returns the words with indexes in [from, to).
func (j *job) chunk(from, to int) Choice {
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

// writeEnd writes the events that follow the last word.
func (s *Server) writeEnd(response *echo.Response, j *job) error {
	if err := s.writeChunk(response, j, Choice{Delta: &Content{}, FinishReason: &finishReasonStop}); err != nil {
		return err
	}
	if j.request.StreamOptions.IncludeUsage {
		chunk := s.newCompletion(j, objectChunk)
		chunk.Usage = j.usage()
		if err := writeJSON(response, chunk); err != nil {
			return err
		}
	}
	return writeData(response, []byte("[DONE]"))
}

func (s *Server) writeChunk(response *echo.Response, j *job, choice Choice) error {
	chunk := s.newCompletion(j, objectChunk)
	chunk.Choices = []Choice{choice}
	return writeJSON(response, chunk)
}

func writeJSON(response *echo.Response, chunk Completion) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return writeData(response, data)
}

// writeData writes and flushes one server-sent event.
func writeData(response *echo.Response, data []byte) error {
	event := append(append([]byte("data: "), data...), "\n\n"...)
	if _, err := response.Write(event); err != nil {
		return err
	}
	response.Flush()
	return nil
}
