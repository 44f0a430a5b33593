package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	names   names
	name    string
	ip      string
	callers string
	ready   string
	path    string
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// startTimeout bounds the wait for a gateway that has to become ready.
const startTimeout = 20 * time.Second

// deployCommand returns the words of the first run line of the deploy file.
func deployCommand(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no run line")
}

// settings is the settings file of a small deployment; the bounds are those of the site that claim.txt names.
const settings = `node_name=%s
role=gateway
machine_class=front
serves=front
ip=%s
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=%s
listen.ready=%s
listen.control=%s:%d
port_range=%d,%d
seeds=%s:%d
bootstrap=true
counts_as_loss=false
limits.cpu_share=0.304
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
tolerate.machines=2
tolerate.zones=0
tolerate.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stability_window_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=2500
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2500
bounds.back_ms=250
bounds.max_stretch_ms=6000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=58
bounds.recovery_s=12
bounds.pass_ms=300
bounds.retry_after_s=0
bounds.fencing_enforced=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_factor=1.1
platform.address=%s
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=8
platform.append_ms=4.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
`

// newGateway writes the settings of a gateway at a loopback address of its own; temp is a folder for them and the log.
func newGateway(n names, name string, s *store, temp string) (*gateway, error) {
	g := &gateway{names: n, name: name, ip: fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))}
	// No other process uses the address, so the ports of the page's example are free.
	ports := [4]int{8149, 8141, 8144, 7380}
	g.callers, g.ready = fmt.Sprintf("%s:%d", g.ip, ports[0]), fmt.Sprintf("%s:%d", g.ip, ports[1])
	g.path = filepath.Join(temp, name+".conf")
	text := fmt.Sprintf(settings, name, g.ip, g.callers, g.ready, g.ip, ports[2], ports[3], ports[3]+15, g.ip, ports[2], s.address())
	if err := os.WriteFile(g.path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	g.log, err = os.Create(filepath.Join(temp, name+".log"))
	return g, err
}

// start starts the process from the root of the repository.
func (g *gateway) start(root string) error {
	words, err := deployCommand(root)
	if err != nil {
		return err
	}
	g.command = exec.Command(words[0], words[1:]...)
	g.command.Dir = root
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), g.names.get("boot") + "=" + g.path}
	g.command.Stdout, g.command.Stderr = g.log, g.log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(g.command, g.done)
	return nil
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after %v", g.name, startTimeout)
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + g.names.get("path_ready"))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends the process, if it still runs.
func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.done
}
