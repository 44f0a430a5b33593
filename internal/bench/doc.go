// Package bench sends open-loop load to a system of daemons and stand-ins, which run as processes, and measures the
// results.
//
// The arrivals depend only on the seed and the settings of the load. Sending never waits for responses. A run whose
// generator fell behind the scheduled arrivals reports no figures.
package bench
