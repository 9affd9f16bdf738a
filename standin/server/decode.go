package server

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Decode reads a JSON body whatever its content type says. The error is one
// that echo answers with 400.
func Decode(c echo.Context, target any) error {
	if err := json.NewDecoder(c.Request().Body).Decode(target); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "malformed JSON body").SetInternal(err)
	}
	return nil
}
