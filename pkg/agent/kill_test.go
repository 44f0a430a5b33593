package agent

// kill ends an agent as the loss of its process does: nothing is finished, recorded or answered.
func (d *Daemon) kill() {
	for _, l := range d.servers {
		_ = l.server.Close()
	}
	d.streams.close()
	d.cancel()
	d.running.Wait()
	d.cancel = nil
}
