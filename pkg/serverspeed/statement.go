package serverspeed

import "time"

// Statement is what a server stated about its speed at a time.
type Statement struct {
	Server   string
	Slowness float64
	At       time.Time
}
