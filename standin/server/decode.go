package server

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Decode decodes a JSON body and ignores the content type. The error makes echo
// answer with status 400.
func Decode(c echo.Context, target any) error {
	if err := json.NewDecoder(c.Request().Body).Decode(target); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "malformed JSON body").SetInternal(err)
	}
	return nil
}
