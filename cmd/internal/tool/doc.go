// Package tool is the operators' command-line tool: its commands, what they
// print and their exit codes.
package tool
