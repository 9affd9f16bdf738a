// Package standin holds small stand-ins of the systems that the router talks to.
// Tests and the operators' tool start them; no code of an instance depends on
// them.
package standin
