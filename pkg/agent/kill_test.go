package agent

// kill stops an agent abruptly, as a crash does: no request in progress is finished, recorded or responded to.
func (d *Daemon) kill() {
	for _, l := range d.servers {
		_ = l.server.Close()
	}
	d.streams.close()
	d.cancel()
	d.running.Wait()
	d.cancel = nil
}
