// Package observation defines what a caller saw of one request that it sent:
// the common language of the load generator and the checker.
package observation
