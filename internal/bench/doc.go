// Package bench drives the daemons as processes over the stand-ins with open-loop load and measures the outcome.
//
// Arrivals follow from the seed alone. Sending never waits for answers, and a run whose generator fell behind its
// arrivals reports no figures.
package bench
