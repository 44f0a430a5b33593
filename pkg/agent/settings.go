package agent

import (
	"cmp"
	"net"
	"net/url"
	"time"

	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/settings"
)

// Settings are the static settings of an agent.
type Settings struct {
	Host      HostSettings      `section:"host" doc:"Identity of the agent's host."`
	Listen    ListenSettings    `section:"listen" doc:"Addresses and limits of the servers."`
	Platform  PlatformSettings  `section:"platform" doc:"Services of the platform."`
	Backend   BackendSettings   `section:"backend" doc:"The backend server beside the agent."`
	Queue     QueueSettings     `section:"queue" doc:"Admission of generations."`
	Placement PlacementSettings `section:"placement" doc:"Copies of models."`
	Keys      KeysSettings      `section:"keys" doc:"Idempotency keys of service calls."`
	Watch     WatchSettings     `section:"watch" doc:"Watching of other runners."`
	Drain     DrainSettings     `section:"drain" doc:"Graceful stop."`
	Log       LogSettings       `section:"log" doc:"Log output."`
	Runtime   settings.Runtime  `section:"runtime" doc:"Memory management."`
}

// HostSettings identify the host.
type HostSettings struct {
	Name          string `key:"name" required:"true" doc:"Name of the runner."`
	Region        string `key:"region" required:"true" doc:"Region of the host."`
	FailureDomain string `key:"failure_domain" required:"true" doc:"Failure domain of the host."`
	// Threads is small because waking an idle thread costs more than handling most control messages.
	Threads int `key:"threads" default:"2" min:"1" doc:"Threads that run at the same time; the host belongs to the backend server."`
}

// ListenSettings are the addresses and limits of the HTTP servers.
type ListenSettings struct {
	Control      string         `key:"control" required:"true" doc:"IP address and port of the control and exec server."`
	Advertise    string         `key:"advertise" doc:"IP address and port under which others reach control; empty means control itself."`
	Admin        string         `key:"admin" required:"true" doc:"IP address and port of the admin server."`
	MaxBodyBytes settings.Bytes `key:"max_body_bytes" default:"16MiB" min:"1KiB" doc:"Largest body of an exec request."`
}

// PlatformSettings describe the log service and the host list.
type PlatformSettings struct {
	LogURL       string        `key:"log_url" required:"true" doc:"Base URL of the log service."`
	HostsURL     string        `key:"hosts_url" required:"true" doc:"Base URL of the host list."`
	PollInterval time.Duration `key:"poll_interval" default:"250ms" min:"10ms" doc:"Time between two reads of a log stream."`
	LogRetention time.Duration `key:"log_retention" default:"1h" min:"1s" doc:"Retention of the log; a checkpoint is written after a third of it."`
}

// Kinds of backend servers.
const (
	BackendEngine  = "engine"
	BackendService = "service"
)

// BackendSettings describe the backend server.
type BackendSettings struct {
	Kind             string         `key:"kind" default:"engine" doc:"engine or service."`
	URL              string         `key:"url" required:"true" doc:"Base URL of the backend server."`
	Service          string         `key:"service" doc:"Name of the plain service; only for kind service."`
	HonoursFencing   bool           `key:"honours_fencing" default:"false" doc:"Whether the engine refuses orders with an old fencing number."`
	MemoryBytes      settings.Bytes `key:"memory_bytes" default:"0" doc:"Accelerator memory of the runner; 0 takes the engine's report."`
	Accelerators     uint32         `key:"accelerators" default:"1" doc:"Number of accelerators of the runner."`
	AdapterSlots     uint32         `key:"adapter_slots" default:"8" doc:"Adapters that are resident at the same time."`
	AdapterInFlight  int            `key:"adapter_in_flight" default:"24" min:"1" doc:"Adapters loading at the same time over all runners."`
	StoreConcurrency int            `key:"store_concurrency" default:"3" min:"1" doc:"Model loads of the weight store at full speed, over all runners."`
	MaxCalls         int            `key:"max_calls" default:"64" min:"1" doc:"Service calls in progress at the same time."`
	ReportInterval   time.Duration  `key:"report_interval" default:"250ms" min:"10ms" doc:"Time between two reads of the engine's report."`
	OrderTimeout     time.Duration  `key:"order_timeout" default:"10m" min:"1s" doc:"Longest wait for the answer to an order."`
}

// QueueSettings configure the admission queue.
type QueueSettings struct {
	MaxQueued         int           `key:"max_queued" default:"256" min:"1" doc:"Waiting requests."`
	DefaultFirstToken time.Duration `key:"patience" default:"10s" min:"10ms" doc:"Assumed time to the first token of requests without a target."`
	PriorityStep      time.Duration `key:"priority_step" default:"100ms" doc:"Head start of one unit of priority."`
	MaxPriority       int32         `key:"max_priority" default:"10" min:"0" doc:"Largest priority that counts."`
	LongPrefill       time.Duration `key:"long_prefill" default:"250ms" min:"1ms" doc:"Prefill time from which a request counts as long."`
	LongShare         float64       `key:"long_share" default:"0.25" min:"0" max:"1" doc:"Part of the slots that long prefills may hold."`
	LateShare         float64       `key:"late_share" default:"0.3" min:"0.01" max:"1" doc:"Part of the time for prefills that alone take longer than their target."`
	PrefixIndex       int           `key:"prefix_index" default:"4096" min:"1" doc:"Prompt prefixes remembered from the engine's cache events."`
}

// PlacementSettings select the policy for copies beyond the published minimum.
type PlacementSettings struct {
	Policy string `key:"policy" default:"planned" doc:"planned weighs the value of a surplus copy against its cost, static adds none, on_demand adds one at every hint."`
}

// KeysSettings are the limits of idempotency keys.
type KeysSettings struct {
	Retention time.Duration  `key:"retention" default:"24h" min:"1m" doc:"Time for which a key is remembered."`
	BodyBytes settings.Bytes `key:"body_bytes" default:"16KiB" min:"0" max:"16KiB" doc:"Largest answer stored with a key."`
	Wait      time.Duration  `key:"wait" default:"2s" min:"0s" doc:"Time to wait for the answer of a request that runs elsewhere."`
}

// WatchSettings configure the liveness checks of other runners.
type WatchSettings struct {
	Interval       time.Duration `key:"interval" default:"3s" min:"10ms" doc:"Time between two pings of a runner; five within silence."`
	SilenceTimeout time.Duration `key:"silence" default:"15s" min:"100ms" doc:"Silence after which a runner that is absent from the host list is evicted."`
}

// DrainSettings configure a graceful stop.
type DrainSettings struct {
	Timeout time.Duration `key:"timeout" default:"10m" min:"0s" doc:"Longest wait for work in progress at a stop."`
}

// LogSettings configure the log output.
type LogSettings struct {
	Level  string `key:"level" default:"info" doc:"debug, info, warn or error."`
	Format string `key:"format" default:"text" doc:"text or json."`
}

// Check returns the problems that the struct tags cannot express.
func (s *Settings) Check() []settings.Problem {
	var out []settings.Problem
	add := func(section, key, message string) {
		out = append(out, settings.Problem{Section: section, Key: key, Message: message})
	}
	if s.Backend.Kind != BackendEngine && s.Backend.Kind != BackendService {
		add("backend", "kind", "must be engine or service")
	}
	if (s.Backend.Kind == BackendService) != (s.Backend.Service != "") {
		add("backend", "service", "is required for kind service and for no other")
	}
	if _, err := placement.NewPlanner(s.Placement.Policy); err != nil {
		add("placement", "policy", "must be planned, static or on_demand")
	}
	for _, a := range []struct{ key, value string }{{"control", s.Listen.Control}, {"admin", s.Listen.Admin}} {
		if !validAddress(a.value) {
			add("listen", a.key, "must be an IP address and a port")
		}
	}
	if s.Listen.Advertise != "" && !validAddress(s.Listen.Advertise) {
		add("listen", "advertise", "must be an IP address and a port")
	}
	for _, u := range []struct{ section, key, value string }{
		{"platform", "log_url", s.Platform.LogURL}, {"platform", "hosts_url", s.Platform.HostsURL}, {"backend", "url", s.Backend.URL},
	} {
		if !validURL(u.value) {
			add(u.section, u.key, "must be an http URL")
		}
	}
	return out
}

// advertised returns the address at which other processes reach the control server.
func (s ListenSettings) advertised() string {
	return cmp.Or(s.Advertise, s.Control)
}

func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && u.Host != ""
}
