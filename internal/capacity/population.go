package capacity

import (
	"context"
	"fmt"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/configlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/stream"
)

const (
	configStream    = "config"
	placementStream = "placement"
	gibibyte        = 1 << 30
	modelBytes      = 16 * gibibyte
	runnerMemory    = 80 * gibibyte
)

// population writes the records of a whole system into the log and describes its hosts.
type population struct {
	size Size
	log  infra.Log
	// address is the address of the server that responds for all hosts except the measured one.
	address string
	writer  *stream.Writer
	// measured is the index of the measured host among the hosts of its role.
	measured int
	role     Role
	// clearDomain0 moves the entry hosts of failure domain 0 into failure domain 1.
	clearDomain0 bool
}

func newPopulation(size Size, log infra.Log, address string) *population {
	zero := func() uint64 { return 0 }
	return &population{size: size, log: log, address: address, writer: stream.NewWriter(log, placementStream, "population", time.Now, zero)}
}

// writeAll publishes the configuration and writes the records of all agents and copies.
func (p *population) writeAll(ctx context.Context) error {
	if err := p.publishConfig(ctx); err != nil {
		return err
	}
	fencing, err := p.writeAgentStarts(ctx)
	if err != nil {
		return err
	}
	return p.writeClaims(ctx, fencing)
}

// publishConfig publishes all models and adapters and one plain service.
func (p *population) publishConfig(ctx context.Context) error {
	var puts []*ferrypb.Object
	for i := range p.size.Models {
		puts = append(puts, p.model(i, "v1"))
	}
	for i := range p.size.Adapters {
		puts = append(puts, p.adapter(i, 64))
	}
	puts = append(puts, &ferrypb.Object{Kind: "service", Name: "booking", Values: map[string]string{"idempotent_methods": "GET", "timeout": "10s"}})
	return p.publishObjects(ctx, puts...)
}

// publishObjects publishes the objects as one change set; it fails unless the set is accepted.
func (p *population) publishObjects(ctx context.Context, puts ...*ferrypb.Object) error {
	publisher := configlog.NewPublisher(p.log, systemClock{})
	if err := publisher.Sync(ctx); err != nil {
		return err
	}
	change := configlog.Change{Puts: puts, Author: "capacity"}
	_, err := publisher.Submit(ctx, change.Prepare(publisher.Fold(), fmt.Sprint("capacity-", time.Now().UnixNano())))
	return err
}

func (p *population) model(i int, version string) *ferrypb.Object {
	return &ferrypb.Object{Kind: "model", Name: modelName(i), Values: map[string]string{
		"version": version, "bytes": "16GiB", "min_copies": fmt.Sprint(p.size.Copies), "first_token_target": "620ms",
		"between_tokens_target": "51ms", "priority": "10", "max_tokens": "8192",
	}}
}

func (p *population) adapter(i, mebibytes int) *ferrypb.Object {
	return &ferrypb.Object{Kind: "adapter", Name: fmt.Sprintf("adapter-%04d", i), Values: map[string]string{
		"model": modelName(i % p.size.Models), "bytes": fmt.Sprintf("%dMiB", mebibytes),
	}}
}

func modelName(i int) string       { return fmt.Sprintf("model-%03d", i) }
func runnerName(i int) string      { return fmt.Sprintf("runner-%03d", i) }
func entryName(i int) string       { return fmt.Sprintf("entry-%03d", i) }
func domainName(i int) string      { return fmt.Sprintf("domain-%d", i) }
func (s Size) domain(i int) string { return domainName(i % s.Domains) }
func (s Size) region(i int) string { return fmt.Sprintf("region-%d", i%s.Domains%2) }

// writeAgentStarts writes the start records of all agents and returns their fencing tokens, which are the log offsets of
// the records.
func (p *population) writeAgentStarts(ctx context.Context) ([]uint64, error) {
	fencing := make([]uint64, p.size.Runners)
	for i := range fencing {
		offset, err := p.append(ctx, &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{
			Runner: runnerName(i), Incarnation: "incarnation-" + runnerName(i), Address: p.address,
			Region: p.size.region(i), FailureDomain: p.size.domain(i), MemoryBytes: runnerMemory, Accelerators: 4, AdapterSlots: 8,
		}}})
		if err != nil {
			return nil, err
		}
		fencing[i] = offset
	}
	return fencing, nil
}

// writeClaims writes one claim, already marked as loaded, for each copy of each model. The copies are spread over all
// runners except the measured one. fencing holds the fencing token of each runner.
func (p *population) writeClaims(ctx context.Context, fencing []uint64) error {
	for m := range p.size.Models {
		for c := range p.size.Copies {
			r := (p.measured + 1 + (m*p.size.Copies+c)%(p.size.Runners-1)) % p.size.Runners
			_, err := p.append(ctx, &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Claim{Claim: &ferrypb.Claim{
				Model: modelName(m), Version: "v1", Runner: runnerName(r), Fencing: fencing[r], Bytes: modelBytes,
				Kind: ferrypb.ClaimKind_CLAIM_KIND_FLOOR, Wanted: uint32(p.size.Copies),
				FailureDomain: p.size.domain(r), Region: p.size.region(r), Loaded: true,
			}}})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// writeAgentRestart writes a start record of agent i with a new incarnation, as a restarted agent does.
func (p *population) writeAgentRestart(ctx context.Context, i int) error {
	_, err := p.append(ctx, &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{
		Runner: runnerName(i), Incarnation: fmt.Sprint("incarnation-", time.Now().UnixNano()), Address: p.address,
		Region: p.size.region(i), FailureDomain: p.size.domain(i), MemoryBytes: runnerMemory, Accelerators: 4, AdapterSlots: 8,
	}}})
	return err
}

func (p *population) append(ctx context.Context, record *ferrypb.PlacementRecord) (uint64, error) {
	offset, err := p.writer.Append(ctx, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Placement{Placement: record}})
	if err != nil {
		return 0, failure.Wrap(failure.Internal, failure.NotRun, "cannot append a placement record to the log", err)
	}
	return offset, nil
}

// hosts returns the rows of the host list. All rows have the address of the server that responds for the other hosts.
func (p *population) hosts() []infra.Host {
	var out []infra.Host
	for i := range p.size.Entries {
		host := p.host(entryName(i), infra.RoleEntry, i)
		if p.clearDomain0 && host.FailureDomain == domainName(0) {
			host.FailureDomain = domainName(1)
		}
		out = append(out, host)
	}
	for i := range p.size.Runners {
		out = append(out, p.host(runnerName(i), infra.RoleRunner, i))
	}
	return out
}

func (p *population) host(name string, role infra.Role, i int) infra.Host {
	return infra.Host{Name: name, Role: role, Address: p.address, Region: p.size.region(i), FailureDomain: p.size.domain(i), State: infra.HostLive}
}
