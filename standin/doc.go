// Package standin holds small stand-ins of the systems that the router meets.
// Tests and the operators' tool start them; no instance depends on them.
package standin
