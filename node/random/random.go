// Package random wraps the global source of math/rand/v2 for code that takes its
// source of random numbers as an argument.
package random

import "math/rand/v2"

// Global draws from the global source of math/rand/v2. Its methods may be called
// from several goroutines.
type Global struct{}

// Float64 returns a number in [0, 1).
func (Global) Float64() float64 { return rand.Float64() }

// IntN returns a number in [0, n).
func (Global) IntN(n int) int { return rand.IntN(n) }

// Int64N returns a number in [0, n).
func (Global) Int64N(n int64) int64 { return rand.Int64N(n) }
