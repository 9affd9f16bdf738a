package engine

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/standin/faults"
	"github.com/wigeonusher/wigeonusher/standin/server"
)

// Action is the type of an [Order].
type Action string

// Actions of an [Order].
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order is a request to load or unload a model version.
type Order struct {
	// Fencing is the fencing number of the claim that authorizes the order.
	Fencing uint64 `json:"fencing"`
	Action  Action `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

func (s *Server) handleOrder(c echo.Context) error {
	var order Order
	if err := server.Decode(c, &order); err != nil {
		return err
	}
	if order.Action != ActionLoad && order.Action != ActionUnload {
		return echo.NewHTTPError(http.StatusBadRequest, "unknown action")
	}
	ref := order.Model + "@" + order.Version
	if !s.acceptFencing(ref, order.Fencing) {
		c.Response().Header().Set(faults.HeaderNotRun, "true")
		return c.JSON(http.StatusConflict, faults.Problem{Title: "old fencing number", Status: http.StatusConflict})
	}
	if order.Action == ActionLoad {
		// Loading continues if the caller disconnects.
		if err := s.Faults.Sleep(context.Background(), s.config.LoadTime); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Action == ActionLoad {
		s.loaded[ref] = true
	} else {
		delete(s.loaded, ref)
	}
	return c.NoContent(http.StatusNoContent)
}

// acceptFencing records the fencing number and returns true, unless
// ChecksFencing is set and the number is below the highest one received for the
// version.
func (s *Server) acceptFencing(ref string, fencing uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ChecksFencing && fencing < s.fencing[ref] {
		return false
	}
	s.fencing[ref] = max(s.fencing[ref], fencing)
	return true
}
