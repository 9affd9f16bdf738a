// Package fleetlimit keeps the sum of the requests that all instances send to an
// endpoint under a limit that the endpoint names in its answers.
package fleetlimit
