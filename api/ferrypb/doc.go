// Package ferrypb holds the generated messages of the log records, the data plane and the control plane.
package ferrypb
