package fleet

import (
	"net/netip"
	"strconv"
	"unicode"
	"unicode/utf8"
)

const (
	// maxServerSlots is more than any server processes at a time. A larger number would make a server look idle whatever
	// it has to do, so that all requests are sent to it.
	maxServerSlots = 1 << 16
	// maxStartMillis is a time in the year 2109. The set of servers ignores reports of an earlier start than the latest one
	// known, so that a later time under the id of a server would hide that server for as long as the daemon runs. Times
	// are not compared with the clock of this host, because it may be wrong.
	maxStartMillis = 1 << 42
	// maxSequence is the number of reports of 30 years at one in a millisecond. A larger sequence would hide the reports
	// of a server until it starts again.
	maxSequence = 1 << 40
	// maxNameBytes is four times the length of the key of an entry, which is a server's id.
	maxNameBytes = 1 << 10
	// maxResidentNames is several times the number of models of the largest fleet. Entries stay in memory and are sent to
	// all daemons.
	maxResidentNames = 1 << 12
)

// ValidationError returns why the server cannot be used; it is empty for a usable one. Reports come from outside the
// daemon, so any value may occur.
func (s *Server) ValidationError() string {
	switch {
	case s.FailureDomain == "":
		return "the failure domain is missing"
	case s.Slots == 0:
		return "there are no slots"
	default:
		return s.RangeError()
	}
}

// RangeError returns which value of the server does harm because it is outside its range; it is empty if none is. A server
// that another daemon has taken from the list may lack values that were added to its report later.
func (s *Server) RangeError() string {
	switch {
	case !isToken(s.ID):
		// The id is sent in a header field and in messages, which hold only valid text.
		return "the id is not 1 to " + strconv.Itoa(maxNameBytes) + " printable ASCII characters"
	case !isName(s.Service):
		return "the service is not a name"
	case s.FailureDomain != "" && !isName(s.FailureDomain):
		return "the failure domain is not a name"
	case !isAddress(s.Address):
		return "the address is not an IP address and a port from 1 to 65535 that connections can be made to"
	case s.Slots < 0 || s.Slots > maxServerSlots:
		return "the number of slots is not from 1 to " + strconv.Itoa(maxServerSlots)
	default:
		return s.StateRangeError()
	}
}

// StateRangeError is RangeError for the values that a server also reports when it is asked: its start time, its sequence
// and its models.
func (s *Server) StateRangeError() string {
	switch {
	case s.StartMillis < 0 || s.StartMillis > maxStartMillis:
		return "the start time is not from 0 to " + strconv.Itoa(maxStartMillis) + " ms"
	case s.Sequence < 0 || s.Sequence > maxSequence:
		return "the sequence is not from 0 to " + strconv.Itoa(maxSequence)
	case len(s.OnDisk) > maxResidentNames || len(s.InMemory) > maxResidentNames:
		return "more than " + strconv.Itoa(maxResidentNames) + " models are cached"
	default:
		return residentError(s.Models)
	}
}

// residentError returns what is wrong with a list of resident models.
func residentError(models []ResidentModel) string {
	names := len(models)
	for i := range models {
		m := &models[i]
		if !isName(m.Name) {
			return "a resident model has no valid name"
		}
		for _, a := range m.Adapters {
			if !isName(a) {
				return "an adapter of model " + m.Name + " has no valid name"
			}
		}
		if names += len(m.Adapters); names > maxResidentNames {
			break
		}
	}
	if names > maxResidentNames {
		return "more than " + strconv.Itoa(maxResidentNames) + " models and adapters are resident"
	}
	return ""
}

// broadcastAddress is the IPv4 address of all hosts of the local network.
var broadcastAddress = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// isAddress reports whether text is an IP address of one host and a port. The unspecified address would lead to the local
// host, and a host name to look-ups outside the platform.
func isAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return false
	}
	host := a.Addr().Unmap()
	return !host.IsUnspecified() && !host.IsMulticast() && host != broadcastAddress
}

// isName reports whether a name can be sent in messages and written to log lines.
func isName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
		return false
	}
	for _, c := range name {
		if unicode.IsControl(c) {
			return false
		}
	}
	return true
}

// isToken reports whether a name can also be sent in a header field.
func isToken(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}
