package local

import "fmt"

// explain prints where things listen and what to paste.
func (f *fleet) explain() {
	out := f.config.Out
	first := f.routers[0]
	fmt.Fprintln(out, "ryelug dev: three routers, a platform, three engines and a service, on loopback.")
	for _, one := range f.routers {
		fmt.Fprintf(out, "  %s in %s: callers http://%s, operators http://%s/debug/vars and /healthz\n",
			one.host, one.centre, one.listeners[0].Addr(), one.listeners[1].Addr())
	}
	for _, one := range f.endpoints {
		fmt.Fprintf(out, "  %s in %s: http://%s\n", one.Name, one.DataCentre, one.Address)
	}
	fmt.Fprintf(out, "  platform: http://%s, environment %s\n", f.platform, Environment)
	fmt.Fprintln(out, "Teams:")
	for _, team := range Teams {
		fmt.Fprintf(out, "  %s, share %d, key %s\n", team.Name, team.Share, team.Key)
	}
	fmt.Fprintln(out, "\nA streamed answer from an engine:")
	fmt.Fprintf(out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n    -d '%s'\n",
		first.listeners[0].Addr(), Teams[0].Key,
		`{"model":"`+Model+`","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Plan a visit for a school."}]}`)
	fmt.Fprintln(out, "A call of the service, which runs at most once:")
	fmt.Fprintf(out, "  curl http://%s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: visit-1' \\\n    -d '{\"adults\":2}'\n",
		first.listeners[0].Addr(), CallPath, Teams[2].Key)
	fmt.Fprintln(out, "The counters of the first router:")
	fmt.Fprintf(out, "  curl http://%s/debug/vars\n", first.listeners[1].Addr())
	fmt.Fprintln(out, "Operators' commands, such as:")
	fmt.Fprintf(out, "  ryelug status -platform %s -environment %s\n", f.platform, Environment)
	fmt.Fprintf(out, "  ryelug data-centre out -platform %s -environment %s %s\n", f.platform, Environment, DataCentres[1])
	fmt.Fprintln(out, "\nInterrupt (Ctrl-C) to shut down.")
}
