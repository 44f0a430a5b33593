// Package serverlimit keeps the requests to servers in trouble within the limits that these name: requests per second from
// all daemons together. Decisions read no clock and no network.
package serverlimit
