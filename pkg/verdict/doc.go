// Package verdict holds what is known of an attempt to have a request run.
package verdict
