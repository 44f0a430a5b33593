package coordinator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/lease"
	"trefoilferry.example/ferry/pkg/oncehttp"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

const (
	// baseReportInterval is the time between two reports. The later daemons learn of the prompts that others sent to a
	// runner, the more often several of them send long prompts to it at once, which pauses its streams. In the
	// simulation of one busy model the share of late requests falls from 0.18 to 0.15 when the interval falls from 125
	// ms to 60 ms.
	baseReportInterval = 60 * time.Millisecond
	// intervalPerDaemon extends the interval for each daemon beyond baseIntervalDaemons, so that the holder gets no
	// more than about 500 reports per second at any size, and 350 at the target size, where they are its largest cost.
	intervalPerDaemon   = 3 * time.Millisecond
	baseIntervalDaemons = 30
	// minReportInterval is the shortest time between two reports of a daemon with waiting requests; it is longer by
	// waitIntervalPerDaemon for each daemon, because after a shift of demand requests wait at most of them.
	minReportInterval     = 25 * time.Millisecond
	waitIntervalPerDaemon = 500 * time.Microsecond
	// minAllowanceInterval is the least time from the end of a report to one for requests that began to wait for units of an
	// allowance since. Requests that come in a burst share a report.
	minAllowanceInterval = 10 * time.Millisecond
	// reportTimeout bounds one report, including the time for which the holder delays its response.
	reportTimeout = 800 * time.Millisecond
)

// maxDaemons bounds the number of daemons that a view names, and with it the time between reports. It is ten times the
// target size.
const maxDaemons = 3500

// localHolder is the source of views while this daemon itself holds the lease.
const localHolder = "local"

// Lease is the part of the lease that a reporter uses.
type Lease interface {
	Held() bool
	Holder() lease.Record
	// RecordHolderContact records a response of the holder with the position of its latest renewal;
	// RecordHolderLost records that it did not respond.
	RecordHolderContact(position int64)
	RecordHolderLost()
	// SetDaemons sets the number of daemons that may take the lease.
	SetDaemons(n int)
}

// Reporter reports demand and work to the holder of the lease and passes the holder's view to the gateway.
type Reporter struct {
	name    string
	lease   Lease
	local   *Coordinator
	demand  *gateway.Demand
	tracker *gateway.Tracker
	control *gateway.Control
	log     *eventlog.Logger
	client  *http.Client

	// daemons is the number of reporting daemons, as counted by the holder.
	daemons int

	mu         sync.Mutex
	clients    map[string]ferrypb.Coordinator
	view       *runnerView
	evidence   *evidenceReporter
	limits     *limitReporter
	leaving    *leavingReporter
	allowances *allowanceReporter
	speeds     *speedReporter
	source     string
	holderLost bool
	// refusedRelay is why the last relayed configuration was refused that a line was written for.
	refusedRelay string
}

// NewReporter returns a reporter for the named daemon; local is the coordinator of this process, and servers holds what
// backend servers have said about taking requests. allowances are this daemon's parts of shared allowances, nil for none.
func NewReporter(name string, l Lease, local *Coordinator, control *gateway.Control, demand *gateway.Demand, tracker *gateway.Tracker, board *quarantine.Board, limits *serverlimit.Table, servers *availability.Table, allowances *allowance.Table, log *eventlog.Logger) *Reporter {
	return &Reporter{name: name, lease: l, local: local, demand: demand, tracker: tracker, control: control, log: log,
		client: &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true,
			IdleConnTimeout: 5 * time.Second, MaxResponseHeaderBytes: oncehttp.MaxHeaderBytes}},
		clients: map[string]ferrypb.Coordinator{}, view: newRunnerView(), evidence: newEvidenceReporter(board, log), limits: &limitReporter{table: limits},
		leaving: &leavingReporter{table: servers}, allowances: &allowanceReporter{table: allowances}, speeds: &speedReporter{tracker: tracker, log: log}}
}

// Run sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.report(ctx) {
			sleep(ctx, minReportInterval+time.Duration(r.daemons)*waitIntervalPerDaemon)
			continue
		}
		reported := time.Now()
		period := time.NewTimer(r.allowances.interval(r.reportInterval()))
		select {
		case <-ctx.Done():
		case <-period.C:
		case <-r.allowances.wanted():
			sleep(ctx, minAllowanceInterval-time.Since(reported))
		case <-r.demand.WaitStarted():
		case <-r.evidence.board.Crashed():
		}
		period.Stop()
	}
}

// reportInterval returns the time between reports.
func (r *Reporter) reportInterval() time.Duration { return reportInterval(r.daemons) }

// reportInterval returns the time between reports of so many daemons.
func reportInterval(daemons int) time.Duration {
	return baseReportInterval + time.Duration(max(daemons-baseIntervalDaemons, 0))*intervalPerDaemon
}

// report sends one report. It returns whether the holder responded and requests are waiting.
func (r *Reporter) report(ctx context.Context) bool {
	target, source := r.target()
	if target == nil {
		return false
	}
	if source != r.source {
		// The content is kept, so that the next holder only returns what differs.
		r.source, r.view.tenure, r.view.version, r.view.serversVersion = source, 0, 0, 0
	}
	message, waiting := r.buildReport()
	sent, sentUp := time.Now(), clock.Uptime()
	r.evidence.addTo(message, sent)
	r.limits.addTo(message, sent)
	r.leaving.addTo(message, sent)
	r.allowances.addTo(message, sentUp)
	r.speeds.addTo(message, r.view, sent)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	view, err := target.Report(ctx, message)
	if err == nil && !view.Holder {
		err = failure.New(failure.PeerUnavailable, failure.NotRun, "the daemon does not hold the lease")
	}
	if err != nil {
		r.recordResult(err, source, 0)
		return false
	}
	cutOff := source != localHolder && !r.control.CanRelay(millis(view.ServersAgeMillis), millis(view.ConfigAgeMillis))
	if cutOff {
		err = failure.New(failure.LogUnavailable, failure.NotRun, "the holder does not reach the store")
	}
	r.recordResult(err, source, view.LeasePosition)
	r.applyPlacement(ctx, view)
	r.evidence.apply(view, message, sent)
	r.limits.apply(view, time.Now())
	r.leaving.apply(view, time.Now())
	r.allowances.apply(view, message, sentUp)
	r.speeds.apply(view, r.view, r.control.View().Servers, time.Now())
	if !cutOff {
		r.applyStoreState(ctx, view, sent, sentUp)
	}
	return waiting
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// target returns the client of the holder and the holder's address; nil when no holder is known.
func (r *Reporter) target() (ferrypb.Coordinator, string) {
	if r.lease.Held() {
		return r.local, localHolder
	}
	address := r.lease.Holder().Address
	if address == "" {
		return nil, ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	client, ok := r.clients[address]
	if !ok {
		client = ferrypb.NewCoordinatorProtobufClient("http://"+address, r.client)
		r.clients = map[string]ferrypb.Coordinator{address: client}
	}
	return client, address
}

func (r *Reporter) recordResult(err error, source string, position int64) {
	if err == nil {
		r.lease.RecordHolderContact(position)
	} else {
		// The relayed state is used until it is too old: most hand-overs take less time than that, and reads by all
		// daemons at once would not make it newer.
		r.lease.RecordHolderLost()
	}
	switch {
	case err != nil && !r.holderLost:
		r.holderLost = true
		r.log.Log(eventlog.CoordinatorUnreachable, "holder", source, "reason", err)
	case err == nil && r.holderLost:
		r.holderLost = false
		r.log.Log(eventlog.CoordinatorReachable, "holder", source)
	}
}

func (r *Reporter) buildReport() (*ferrypb.LoadReport, bool) {
	if r.control.TakeListWanted() {
		r.view.serversVersion = 0
	}
	m := &ferrypb.LoadReport{Daemon: r.name, Tenure: r.view.tenure, ViewVersion: r.view.version, ServersVersion: r.view.serversVersion}
	if config := r.control.View().Config; config != nil {
		m.ConfigVersion = config.Version
	}
	if m.ViewVersion == 0 {
		m.HoldingDigests = r.view.digests()
	}
	if view := r.control.View(); m.ServersVersion == 0 && view.ServersKnown {
		m.ServerDigests = serverDigests(view.Servers)[:]
	}
	waiting := false
	for key, count := range r.demand.Take() {
		waiting = waiting || count.Waiting > 0
		m.Demand = append(m.Demand, &ferrypb.Demand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Requests: uint32(count.Requests),
			WorkMillis: uint32(count.Work.Milliseconds()), Waiting: uint32(count.Waiting),
		})
	}
	work := map[uint32]runnerWork{}
	r.tracker.EachActive(func(server string, requests, tokens int) {
		if index, ok := r.view.indexes[server]; ok {
			work[index] = runnerWork{requests: requests, promptTokens: tokens}
		}
	})
	m.Work = encodeWork(work)
	r.tracker.EachUnreached(time.Now(), func(server string) {
		if index, ok := r.view.indexes[server]; ok {
			m.Unreached = append(m.Unreached, index)
		}
	})
	return m, waiting
}

// applyPlacement applies what the holder knows of the runners. It is also used of a holder that does not reach the store:
// while the store is away for all there is no other holder, and without its view every daemon would route blindly.
func (r *Reporter) applyPlacement(ctx context.Context, view *ferrypb.FleetView) {
	r.daemons = int(min(view.Daemons, maxDaemons))
	r.lease.SetDaemons(r.daemons)
	r.view.apply(view)
	r.control.SetPlacement(ctx, r.view.placement(view))
}

// applyStoreState applies what the holder has read from the store.
func (r *Reporter) applyStoreState(ctx context.Context, view *ferrypb.FleetView, sent time.Time, sentUp time.Duration) {
	if r.source == localHolder {
		r.control.SetRelayActive(false)
		return
	}
	if view.ServersVersion == 0 {
		// The holder has not read the store yet or waits for digests. What was relayed before is used until it is too old.
		return
	}
	update, err := relayUpdate(view, r.control.View().Servers, sent, sentUp)
	if err != nil {
		if reason := err.Error(); reason != r.refusedRelay {
			r.refusedRelay = reason
			r.log.Log(eventlog.RecordRefused, "record", "relayed configuration", "reason", err)
		}
		r.control.SetRelayActive(false)
		return
	}
	r.view.serversVersion = view.ServersVersion
	r.control.ApplyRelayUpdate(ctx, update)
	r.control.SetRelayActive(true)
}
