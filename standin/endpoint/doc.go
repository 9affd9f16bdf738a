// Package endpoint implements what the stand-ins for model engines and plain
// services share: an identity, a row in the instance list, and draining.
package endpoint
