package stream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/platform"
)

// relaysPerDomain is the number of hosts per failure domain that read the log for the others.
const relaysPerDomain = 2

// Relays returns the live hosts of the failure domain that relay the stream, best first, at most two.
// The choice is a rendezvous hash of stream, domain and host name, so that processes with the same
// host list agree; it is a hint only.
func Relays(stream, domain string, hosts []platform.Host) []platform.Host {
	var live []platform.Host
	for _, h := range hosts {
		if h.State == platform.HostLive && h.FailureDomain == domain {
			live = append(live, h)
		}
	}
	slices.SortFunc(live, func(a, b platform.Host) int {
		byScore := cmp.Compare(relayScore(stream, domain, b.Name), relayScore(stream, domain, a.Name))
		return cmp.Or(byScore, cmp.Compare(a.Name, b.Name))
	})
	return live[:min(relaysPerDomain, len(live))]
}

func relayScore(stream, domain, host string) uint64 {
	return xxhash.Sum64String(stream + "\x00" + domain + "\x00" + host)
}
