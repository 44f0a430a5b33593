package bench

import (
	"context"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// injector injects the faults of a schedule into the system.
type injector struct {
	cluster  *cluster.Cluster
	counters *counterCollector
	printf   func(format string, args ...any)
}

// check fails with code SettingsInvalid if a fault names a host or failure domain that is not in the system.
func (i *injector) check(schedule []Fault) error {
	for _, f := range schedule {
		if !i.hasTarget(f) {
			return failure.New(failure.SettingsInvalid, failure.NotRun, "no such host or failure domain in the system: fault \""+f.String()+"\"")
		}
	}
	return nil
}

// hasTarget reports whether the system has the host or failure domain that the fault names.
func (i *injector) hasTarget(f Fault) bool {
	switch f.Kind {
	case LogDown, LogUp:
		return true
	case LoseDomain:
		return len(i.runnersOf(f.Name)) > 0
	case LeaveHost:
		return i.runner(f.Name) != nil
	}
	if f.Process == EntryProcess {
		return i.entry(f.Name) != nil
	}
	return i.runner(f.Name) != nil
}

// run injects the faults at their times, counted from start. A fault that fails is printed and does not end the run.
func (i *injector) run(ctx context.Context, start time.Time, schedule []Fault) {
	for _, f := range schedule {
		if !sleepUntil(ctx, start.Add(f.At)) {
			return
		}
		i.printf("fault: %s\n", f)
		if err := i.apply(ctx, f); err != nil {
			i.printf("fault failed: %s: %v\n", f, err)
		}
	}
}

func (i *injector) apply(ctx context.Context, f Fault) error {
	switch f.Kind {
	case LogDown:
		return i.cluster.SetFaults(ctx, i.cluster.LogURL, faults.Switches{Down: true})
	case LogUp:
		return i.cluster.SetFaults(ctx, i.cluster.LogURL, faults.Switches{})
	case LeaveHost:
		return i.cluster.SetLeaving(ctx, i.runner(f.Name))
	case LoseDomain:
		return i.loseDomain(ctx, f.Name)
	case StartProcess:
		return i.start(ctx, f)
	case KillProcess:
		i.kill(ctx, f)
	case PauseProcess:
		i.process(f).Pause()
	case ResumeProcess:
		i.process(f).Resume()
	}
	return nil
}

// kill kills the process of a fault. The counters of a backend server are saved first, because they are lost with the
// process.
func (i *injector) kill(ctx context.Context, f Fault) {
	if f.Process == EngineProcess || f.Process == ServiceProcess {
		i.counters.save(ctx, i.runner(f.Name))
	}
	i.process(f).Kill()
}

func (i *injector) start(ctx context.Context, f Fault) error {
	switch f.Process {
	case EntryProcess:
		return i.cluster.StartEntry(ctx, i.entry(f.Name))
	case AgentProcess:
		return i.cluster.StartAgent(ctx, i.runner(f.Name))
	default:
		return i.cluster.StartBackend(ctx, i.runner(f.Name))
	}
}

// loseDomain kills all processes of a failure domain, one right after the other, and then removes its hosts from the host
// list.
func (i *injector) loseDomain(ctx context.Context, domain string) error {
	names := []string{}
	for _, e := range i.cluster.Entries {
		if e.Spec.FailureDomain == domain {
			e.Process.Kill()
			names = append(names, e.Spec.Name)
		}
	}
	for _, r := range i.runnersOf(domain) {
		i.counters.save(ctx, r)
		r.Agent.Kill()
		r.Backend.Kill()
		names = append(names, r.Spec.Name)
	}
	for _, name := range names {
		if err := i.cluster.RemoveHost(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// process returns the process that a fault names. The fault must have passed check.
func (i *injector) process(f Fault) *cluster.Process {
	switch f.Process {
	case EntryProcess:
		return i.entry(f.Name).Process
	case AgentProcess:
		return i.runner(f.Name).Agent
	default:
		return i.runner(f.Name).Backend
	}
}

func (i *injector) runner(name string) *cluster.Runner {
	for _, r := range i.cluster.Runners {
		if r.Spec.Name == name {
			return r
		}
	}
	return nil
}

func (i *injector) entry(name string) *cluster.Entry {
	for _, e := range i.cluster.Entries {
		if e.Spec.Name == name {
			return e
		}
	}
	return nil
}

func (i *injector) runnersOf(domain string) []*cluster.Runner {
	var out []*cluster.Runner
	for _, r := range i.cluster.Runners {
		if r.Spec.FailureDomain == domain {
			out = append(out, r)
		}
	}
	return out
}
