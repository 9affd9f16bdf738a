// Package endpoint holds what the stand-ins of engines and plain services have
// in common: an identity, a row in the instance list, and leaving.
package endpoint
