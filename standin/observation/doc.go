// Package observation defines the record of one request as its caller observed
// it. The load generator writes these records and the checker reads them.
package observation
