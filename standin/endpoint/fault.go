package endpoint

// Fault is what goes wrong with one request.
type Fault interface{ fault() }

// Refuse answers "not run" before running.
type Refuse struct{}

// Drop runs the request and closes the connection with no answer.
type Drop struct{}

// Mute runs the request and never answers, with the connection left open.
type Mute struct{}

// Break closes the connection after some events of a stream, or in the middle of a whole answer.
type Break struct{ After int }

// Cross answers with the answer of an earlier request.
type Cross struct{}

func (*Refuse) fault() {}
func (*Drop) fault()   {}
func (*Mute) fault()   {}
func (*Break) fault()  {}
func (*Cross) fault()  {}

// Inject makes each fault hit one of the next requests, in order.
func (e *Endpoint) Inject(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, faults...)
}

// NextFault takes the fault of the request that now arrives; nil when there is none.
func (e *Endpoint) NextFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return nil
	}
	fault := e.faults[0]
	e.faults = e.faults[1:]
	return fault
}

// Slow stretches all delays by factor from now on.
func (e *Endpoint) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// TurnCold makes the endpoint cold in place: no connection is cut and its start stays.
func (e *Endpoint) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completed = 0
	e.setCold(true)
}

// Restart cuts all connections and starts the endpoint anew, cold.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *Endpoint) restart() {
	e.end()
	for slot := range e.slots {
		slot.cancel()
		e.finish(slot, BrokenRun)
	}
	for conn := range e.conns {
		conn.Close()
	}
	e.record(Restarted, "")
	e.begin(true)
}

// Refused records that a request was refused before it ran.
func (e *Endpoint) Refused(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record(RefusedRun, request)
}
