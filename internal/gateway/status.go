package gateway

import (
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
)

// Engines returns the engines as the decision core sees them, and the number of requests that wait for an engine. It
// also returns a sentence for each role (prefill or decode) that is short of capacity.
func (g *Gateway) Engines() ([]decide.EngineState, int, []string) { return g.disp.Engines() }

// RunningIDs returns the ids of the running requests. A forced stop logs them, because it cuts these requests off.
func (g *Gateway) RunningIDs() []string { return g.disp.Running() }

// addressesOf maps the endpoint names of a configuration to addresses.
func addressesOf(c *config.Shared) map[string]string {
	out := make(map[string]string, len(c.Endpoints))
	for _, e := range c.Endpoints {
		out[e.Name] = e.Address
	}
	return out
}

func fleetOf(c *config.Shared) decide.Fleet {
	var f decide.Fleet
	for _, p := range c.Pools {
		f.Pools = append(f.Pools, decide.Pool{Name: p.Name, KVBytesPerToken: p.KVBytesPerToken, PrefillExpiry: p.PrefillExpiry})
	}
	for _, e := range c.Endpoints {
		if e.Role == config.RoleService {
			continue
		}
		role := decide.Prefill
		if e.Role == config.RoleDecode {
			role = decide.Decode
		}
		f.Engines = append(f.Engines, decide.Engine{
			Name: e.Name, Pool: e.Pool, Region: e.Region, Hall: e.Hall, Role: role, Leaving: e.Leaving,
			PrefillRate: e.PrefillRate, KVTokens: e.KVTokens, Step: e.Step, StepPerStream: e.StepPerStream, LinkRate: e.LinkRate,
		})
	}
	return f
}
