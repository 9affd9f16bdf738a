package engine

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/standin/faults"
	"github.com/wigeonusher/wigeonusher/standin/server"
)

// Action is what an order asks of an engine.
type Action string

// Actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order asks the engine to load or unload a model version.
type Order struct {
	// Fencing is the number of the claim under which the order is given.
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
	if !s.admitOrder(ref, order.Fencing) {
		c.Response().Header().Set(faults.HeaderNotRun, "true")
		return c.JSON(http.StatusConflict, faults.Problem{Title: "old fencing number", Status: http.StatusConflict})
	}
	if order.Action == ActionLoad {
		// The load goes on when the caller leaves.
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

// admitOrder refuses numbers below the highest seen for the version.
func (s *Server) admitOrder(ref string, fencing uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ChecksFencing && fencing < s.fencing[ref] {
		return false
	}
	s.fencing[ref] = max(s.fencing[ref], fencing)
	return true
}
