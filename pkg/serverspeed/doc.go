// Package serverspeed estimates how fast backend servers work, from what they state and from what their answers show, and
// learns how long work takes at a usual server of each service. It reads no clock and no network.
package serverspeed
