// Package weights implements a stand-in for the platform's weight store, which
// serializes the loads of model weights at a configured rate.
package weights
