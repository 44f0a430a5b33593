package bench

// Crossing is the traffic between regions that generations caused.
type Crossing struct {
	// Requests counts requests that were served by a runner outside the region of their entry host.
	Requests int `json:"requests"`
	// Bytes estimates their traffic by the bodies sent and the text received, without framing.
	Bytes int `json:"bytes"`
	// Share is the part of all served requests.
	Share float64 `json:"share"`
}

// crossingOf returns the traffic between regions. entries holds the region of each entry host, runners that of each
// runner by name.
func crossingOf(observations []*Observation, e *Evidence, entries []string, runners map[string]string) Crossing {
	var c Crossing
	served := 0
	for _, o := range observations {
		ran := e.Runs[o.Arrival.ID]
		if len(ran) == 0 {
			continue
		}
		served++
		if remote(ran, entries[o.Entry], runners) {
			c.Requests++
			c.Bytes += o.SentBytes + o.ReceivedBytes
		}
	}
	if served > 0 {
		c.Share = float64(c.Requests) / float64(served)
	}
	return c
}

func remote(ran []string, region string, runners map[string]string) bool {
	for _, name := range ran {
		if runners[name] != region {
			return true
		}
	}
	return false
}
