// Package config decides which configuration is in force, alike on every
// instance, by folding proposals from the platform's log.
package config
