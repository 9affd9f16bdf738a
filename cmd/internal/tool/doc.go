// Package tool implements the operators' command-line tool: its commands, their
// output and their exit codes.
package tool
