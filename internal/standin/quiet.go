package standin

// Quiet is a logger of the HTTP library that drops its lines: faults close
// connections, and a daemon that dials the port of a peer that has died may find a
// stand-in there.
type Quiet struct{}

// Printf implements fasthttp.Logger.
func (Quiet) Printf(string, ...any) {}
