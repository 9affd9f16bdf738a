// Package session binds a conversation to the versions it began with.
package session

import (
	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// ID names a session, chosen by the caller or by the system.
type ID string

// Birth is the beginning of a session. It never changes.
type Birth struct {
	Account  document.AccountID `json:"account"`
	Session  ID                 `json:"session"`
	Revision config.Revision    `json:"revision"`
	// Pins gives for each model the version that the session uses for life.
	Pins map[document.ModelName]document.VersionName `json:"pins"`
	// BornUnixMillis is the time of the birth, in milliseconds since 1970.
	BornUnixMillis int64 `json:"born_unix_ms"`
}
