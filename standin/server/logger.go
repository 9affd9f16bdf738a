package server

import (
	"io"
	"log"
)

// discardLogger discards all messages of the HTTP server, because injected faults
// make it log errors of connections.
var discardLogger = log.New(io.Discard, "", 0)
