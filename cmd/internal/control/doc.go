// Package control reads and writes the control stream for the operators' tool:
// it folds the stream into the configuration document in force and the audit
// trail, and publishes proposals.
package control
