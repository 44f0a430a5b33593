package bench

// CrossRegionTraffic is the traffic between regions that generations caused.
type CrossRegionTraffic struct {
	// Requests is the number of requests that ran on a runner outside the region of their entry host.
	Requests int `json:"requests"`
	// Bytes estimates the traffic of these requests: request bodies and received text, without framing.
	Bytes int `json:"bytes"`
	// Share is their share of all requests that ran.
	Share float64 `json:"share"`
}

// crossRegionTraffic returns the traffic between regions. entries holds the region of each entry host by index, runners
// the region of each runner by name.
func crossRegionTraffic(observations []*Observation, counters *BackendCounters, entries []string, runners map[string]string) CrossRegionTraffic {
	var c CrossRegionTraffic
	served := 0
	for _, o := range observations {
		ran := counters.RunnersByRequest[o.Arrival.ID]
		if len(ran) == 0 {
			continue
		}
		served++
		if ranOutsideRegion(ran, entries[o.Entry], runners) {
			c.Requests++
			c.Bytes += o.SentBytes + o.ReceivedBytes
		}
	}
	if served > 0 {
		c.Share = float64(c.Requests) / float64(served)
	}
	return c
}

// ranOutsideRegion reports whether any of the runners named by ran is outside the region.
func ranOutsideRegion(ran []string, region string, runners map[string]string) bool {
	for _, name := range ran {
		if runners[name] != region {
			return true
		}
	}
	return false
}
