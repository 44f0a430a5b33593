// Package verdict decides whether a request was run, from what is known of an attempt, and which status tells its caller
// so. All that counts as evidence of "not run" stands here.
//
// A false "not run" makes a request run twice: the system or the caller sends it again. So the outcome is NotRun only with
// evidence, and whatever contradicts itself is none.
package verdict
