package entry

import (
	"time"

	"trefoilferry.example/ferry/pkg/retry"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/settings"
)

// Settings are the static settings of an entry host.
type Settings struct {
	Host     HostSettings     `section:"host" doc:"This host."`
	Listen   ListenSettings   `section:"listen" doc:"Addresses to listen on, as IP address and port."`
	Platform PlatformSettings `section:"platform" doc:"The platform's services."`
	Limits   LimitSettings    `section:"limits" doc:"Limits on callers' requests and on waiting."`
	Routing  RoutingSettings  `section:"routing" doc:"Choice of the runner."`
	Retry    RetrySettings    `section:"retry" doc:"Repetition of failed attempts."`
	Drain    DrainSettings    `section:"drain" doc:"Graceful stop."`
	Log      LogSettings      `section:"log" doc:"Log output."`
	Runtime  settings.Runtime `section:"runtime" doc:"Memory management."`
}

// HostSettings identify the host.
type HostSettings struct {
	Name          string `key:"name" required:"true" doc:"name of the host, unique over the deployment"`
	Region        string `key:"region" required:"true" doc:"region of the host"`
	FailureDomain string `key:"failure_domain" required:"true" doc:"failure domain of the host"`
}

// ListenSettings are the listeners' addresses.
type ListenSettings struct {
	Callers string `key:"callers" default:"127.0.0.1:8080" doc:"callers' HTTP"`
	Control string `key:"control" default:"127.0.0.1:8081" doc:"calls of other processes"`
	Admin   string `key:"admin" default:"127.0.0.1:8082" doc:"health and metrics"`
}

// PlatformSettings are the addresses of the log service and the host list, and how they are read.
type PlatformSettings struct {
	LogURL       string        `key:"log_url" required:"true" doc:"base URL of the log service"`
	HostsURL     string        `key:"hosts_url" required:"true" doc:"base URL of the host list"`
	PollInterval time.Duration `key:"poll_interval" default:"250ms" min:"10ms" max:"1s" doc:"pause between two reads of a stream"`
	// HostsInterval is longer than PollInterval, because a read returns the whole list if it has changed: about 140 KB
	// for 1,100 hosts. With 1 s, all processes know of a leaving host within 3 s.
	HostsInterval time.Duration `key:"hosts_interval" default:"1s" min:"10ms" max:"1m" doc:"pause between two reads of the host list by a root of the relay tree"`
	UseRelays     bool          `key:"use_relays" default:"true" doc:"take part in the relay tree of the failure domain; without it the log and the host list are read directly"`
	LogRetention  time.Duration `key:"log_retention" default:"1h" min:"1s" doc:"time for which the log keeps records"`
}

// LimitSettings bound what callers may send and how long the daemon waits.
type LimitSettings struct {
	BodyBytes      int64         `key:"body_bytes" default:"4194304" min:"1" doc:"largest body of a caller's request in bytes"`
	HeaderBytes    int           `key:"header_bytes" default:"32768" min:"1024" doc:"largest header of a caller's request in bytes"`
	HeaderTimeout  time.Duration `key:"header_timeout" default:"10s" min:"10ms" doc:"time for a caller to send the header"`
	RequestTimeout time.Duration `key:"request_timeout" default:"5m" min:"10ms" doc:"time for a whole request"`
	IdleTimeout    time.Duration `key:"idle_timeout" default:"90s" min:"10ms" doc:"time for which an unused connection stays open"`
	BodyTimeout    time.Duration `key:"body_timeout" default:"30s" min:"10ms" doc:"time for a caller to send the body"`
	AnswerBytes    int           `key:"answer_bytes" default:"67108864" min:"1024" doc:"largest whole answer in bytes"`
	FrameTimeout   time.Duration `key:"frame_timeout" default:"10s" min:"10ms" doc:"longest silence of an agent within a generation"`
	ConnectTimeout time.Duration `key:"connect_timeout" default:"1s" min:"1ms" doc:"time to connect to an agent"`
}

// RoutingSettings control the choice of a runner.
type RoutingSettings struct {
	Policy             string        `key:"policy" default:"probe" doc:"probe, random or round_robin"`
	Probes             int           `key:"probes" default:"3" min:"1" max:"3" doc:"largest number of probes for one choice"`
	ProbeTimeout       time.Duration `key:"probe_timeout" default:"25ms" min:"1ms" doc:"time for a probe within the region"`
	ProbeTimeoutRemote time.Duration `key:"probe_timeout_remote" default:"100ms" min:"1ms" doc:"time for a probe to another region"`
	RegionCost         time.Duration `key:"region_cost" default:"100ms" doc:"first token time that serving from another region must save"`
	AdapterCost        time.Duration `key:"adapter_cost" default:"150ms" doc:"first token time that loading an adapter must save"`
}

func (s RoutingSettings) costs() routing.Costs {
	return routing.Costs{Region: s.RegionCost, Adapter: s.AdapterCost}
}

// RetrySettings bound retries.
type RetrySettings struct {
	Ratio       float64       `key:"ratio" default:"0.1" min:"0" max:"1" doc:"retries that each request adds to the budget"`
	PerSecond   float64       `key:"per_second" default:"3" min:"0" doc:"retries that each second adds to the budget"`
	Burst       float64       `key:"burst" default:"20" min:"1" doc:"largest budget"`
	MaxAttempts int           `key:"max_attempts" default:"4" min:"1" doc:"largest number of attempts for one request"`
	Base        time.Duration `key:"base" default:"10ms" min:"1ms" doc:"mean delay before the second attempt"`
	Cap         time.Duration `key:"cap" default:"500ms" min:"1ms" doc:"largest mean delay between attempts"`
}

// DrainSettings bound the graceful shutdown.
type DrainSettings struct {
	Grace   time.Duration `key:"grace" default:"5s" doc:"time for which requests are still accepted after SIGTERM"`
	Timeout time.Duration `key:"timeout" default:"5m" doc:"time for requests in progress after the grace"`
}

// LogSettings select level and format of the log output.
type LogSettings struct {
	Level  string `key:"level" default:"info" doc:"debug, info, warn or error"`
	Format string `key:"format" default:"text" doc:"text or json"`
}

// limits returns the settings of the retry budget.
func (s RetrySettings) limits() retry.Limits {
	return retry.Limits{Ratio: s.Ratio, PerSecond: s.PerSecond, Burst: s.Burst}
}
