package bench

import (
	"maps"
	"slices"
)

// Share counts requests and those of them that met their latency targets.
type Share struct {
	Requests int     `json:"requests"`
	Attained int     `json:"attained"`
	Share    float64 `json:"share"`
}

func (s *Share) add(attained bool) {
	s.Requests++
	if attained {
		s.Attained++
	}
	s.Share = float64(s.Attained) / float64(s.Requests)
}

// Attainment is the share of requests that met their latency targets: in total, by class, and by member (model or
// adapter). Service calls use no accelerator and count in ByClass only.
type Attainment struct {
	Total    Share             `json:"total"`
	ByClass  map[Class]*Share  `json:"by_class"`
	ByMember map[string]*Share `json:"by_member"`
	// SharePerAccelerator is the total share divided by the number of accelerators.
	SharePerAccelerator float64 `json:"per_accelerator"`
	// AttainedPerSecondPerAccelerator is the number of requests that met their targets, divided by the length of the
	// window and the number of accelerators.
	AttainedPerSecondPerAccelerator float64  `json:"attained_per_second_per_accelerator"`
	Fairness                        Fairness `json:"fairness"`
}

// Fairness compares the shares of the members with at least minFairnessRequests requests. Ratio is Min/Max.
type Fairness struct {
	Members   int     `json:"members"`
	Min       float64 `json:"min"`
	MinMember string  `json:"min_name"`
	Max       float64 `json:"max"`
	Ratio     float64 `json:"ratio"`
}

// minFairnessRequests is the smallest number of requests for which a member's share is meaningful.
const minFairnessRequests = 5

// attainmentOf returns the attainment of the observations of a time window. seconds is the length of the window.
func attainmentOf(observations []*Observation, accelerators int, seconds float64) Attainment {
	a := Attainment{ByClass: map[Class]*Share{}, ByMember: map[string]*Share{}}
	for _, o := range observations {
		attained := o.attained()
		shareOf(a.ByClass, o.Arrival.Class).add(attained)
		if o.Arrival.Class == ServiceCall {
			continue
		}
		a.Total.add(attained)
		shareOf(a.ByMember, o.Arrival.Member.Name).add(attained)
	}
	if accelerators > 0 {
		a.SharePerAccelerator = a.Total.Share / float64(accelerators)
	}
	if accelerators > 0 && seconds > 0 {
		a.AttainedPerSecondPerAccelerator = float64(a.Total.Attained) / seconds / float64(accelerators)
	}
	a.Fairness = fairnessOf(a.ByMember)
	return a
}

// shareOf returns the share stored under key and adds an empty one if there is none.
func shareOf[K comparable](shares map[K]*Share, key K) *Share {
	if shares[key] == nil {
		shares[key] = &Share{}
	}
	return shares[key]
}

func fairnessOf(members map[string]*Share) Fairness {
	f := Fairness{}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		s := members[name]
		if s.Requests < minFairnessRequests {
			continue
		}
		f.Members++
		if f.Members == 1 || s.Share < f.Min {
			f.Min, f.MinMember = s.Share, name
		}
		f.Max = max(f.Max, s.Share)
	}
	if f.Max > 0 {
		f.Ratio = f.Min / f.Max
	}
	return f
}
