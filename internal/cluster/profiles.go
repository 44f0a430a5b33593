package cluster

import (
	"fmt"
	"time"
)

// Profile is a sample deployment: its configuration and the system to run it on.
type Profile struct {
	Name string
	// ConfigFile is the path of the sample configuration, relative to the module root.
	ConfigFile string
	// Service is the name of the plain service in the configuration.
	Service string
	Spec    Spec
}

const gibibyte = 1 << 30

// directorateMemory and damierMemory are the accelerator memory of one runner in bytes.
const (
	directorateMemory = 80 * gibibyte
	damierMemory      = 80 * gibibyte
)

// Directorate returns the deployment of the Daylighting Directorate with the given number of entry hosts per region.
func Directorate(entriesPerRegion int) Profile {
	regions := []string{"marmara", "ic-anadolu", "ege"}
	spec := Spec{Store: StoreSpec{LoadsPerSecond: 2, MaxConcurrentLoads: 3, AdaptersInFlight: 24, LoadTime: time.Second}, HostListDelay: time.Second}
	spec.Entries = entriesIn(regions, entriesPerRegion)
	spec.Runners = append(modelRunners(regions, 6, directorateMemory), serviceRunners(regions, "booking")...)
	return Profile{Name: "directorate", ConfigFile: "config/directorate.ini", Service: "booking", Spec: spec}
}

// Damier returns the deployment of Damier Analytique with the given number of entry hosts per region.
func Damier(entriesPerRegion int) Profile {
	regions := []string{"sn-dakar", "sn-thies", "sn-stlouis"}
	spec := Spec{Store: StoreSpec{LoadsPerSecond: 1, MaxConcurrentLoads: 4, AdaptersInFlight: 32, LoadTime: time.Second}, HostListDelay: time.Second}
	spec.Entries = entriesIn(regions, entriesPerRegion)
	spec.Runners = append(modelRunners(regions, 3, damierMemory), serviceRunners(regions, "registry")...)
	return Profile{Name: "damier", ConfigFile: "config/damier.ini", Service: "registry", Spec: spec}
}

func entriesIn(regions []string, perRegion int) []EntrySpec {
	var out []EntrySpec
	for _, region := range regions {
		for i := range perRegion {
			out = append(out, EntrySpec{Name: fmt.Sprintf("entry-%s-%d", region, i+1), Region: region, FailureDomain: region})
		}
	}
	return out
}

func modelRunners(regions []string, perRegion int, memory uint64) []RunnerSpec {
	var out []RunnerSpec
	for _, region := range regions {
		for i := range perRegion {
			out = append(out, RunnerSpec{
				Name:           fmt.Sprintf("runner-%s-%d", region, i+1),
				Region:         region,
				FailureDomain:  region,
				MemoryBytes:    memory,
				Accelerators:   1,
				HonoursFencing: i%2 == 0,
			})
		}
	}
	return out
}

func serviceRunners(regions []string, service string) []RunnerSpec {
	var out []RunnerSpec
	for _, region := range regions {
		out = append(out, RunnerSpec{Name: service + "-" + region, Region: region, FailureDomain: region, Service: service})
	}
	return out
}
