package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one process of the project, started with the command of the deploy file.
type gateway struct {
	name    string
	ip      string
	callers string
	ready   string
	cmd     *exec.Cmd
	log     *os.File
}

// deployCommand returns the words of the first run line of the deploy file.
func deployCommand(root string) ([]string, error) {
	f, err := os.Open(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		key, value, ok := strings.Cut(lines.Text(), "=")
		if ok && strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no run line")
}

// freePort returns a port of the address that was free when checked.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startGateway starts the nth process on a loopback address of its own.
func startGateway(n names, root, dir, storeAddress string, number int, extra string) (*gateway, error) {
	// Processes listen on fixed ports too, so that each run has loopback addresses of its own.
	pid := os.Getpid()
	g := &gateway{name: fmt.Sprintf("front-zone-a-%d", number), ip: fmt.Sprintf("127.%d.%d.%d", 1+pid/200%200, pid%200, number)}
	var ports [3]int
	for i := range ports {
		port, err := freePort(g.ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	g.callers, g.ready = fmt.Sprintf("%s:%d", g.ip, ports[0]), fmt.Sprintf("%s:%d", g.ip, ports[1])
	settings := fmt.Sprintf(`node_name=%s
role=gateway
machine_class=front
serves=front
ip=%s
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=%s
listen.ready=%s
port_range=%d,%d
bootstrap=true
limits.cpu_share=1
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
bounds.stability_window_ms=4000
bounds.drain_ms=2500
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2500
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=58
bounds.fencing_enforced=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_factor=1.1
heartbeat_ms=1200
platform.address=%s
%s`, g.name, g.ip, g.callers, g.ready, ports[2], ports[2], storeAddress, extra)
	path := filepath.Join(dir, g.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	words, err := deployCommand(root)
	if err != nil {
		return nil, err
	}
	if g.log, err = os.OpenFile(filepath.Join(dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	g.cmd = exec.Command(filepath.Join(root, words[0]), words[1:]...)
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = root, g.log, g.log
	// The process ends with this one, whatever ends it. That goes by threads: main keeps its own.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, n["boot"] + "=" + path}
	return g, g.cmd.Start()
}

// awaitReady waits until the process says that it is ready.
func (g *gateway) awaitReady(n names, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + n["ready"])
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", g.name)
}

// stop asks the process to stop and waits until it has ended.
func (g *gateway) stop() {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	_ = g.cmd.Wait()
	_ = g.log.Close()
	g.cmd, g.log = nil, nil
}

// end kills the process and waits for it.
func (g *gateway) end() {
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait()
	}
	if g.log != nil {
		_ = g.log.Close()
	}
}
