package service

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.RunTime == 0 {
		c.RunTime = DefaultRunTime
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// fencingOf returns the fencing number of the request, or 0 if it has none.
func fencingOf(request *http.Request) (uint64, error) {
	text := request.Header.Get(HeaderFencing)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "malformed fencing number")
	}
	return number, nil
}
