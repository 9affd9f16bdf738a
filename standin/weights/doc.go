// Package weights is a stand-in of the platform's weight store, which admits
// loads of weights one after the other at its own rate.
package weights
