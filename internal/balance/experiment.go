package balance

import (
	"github.com/gravitational/trace"
)

// Experiment plays ways of deciding over patterns and seeds.
type Experiment struct {
	Patterns []Pattern
	// Ways holds names as ParseWays reads them.
	Ways  []string
	Seeds []uint64
	// Budget and the rest of what is played.
	Options Options
}

// FindPattern is a pattern by its name.
func FindPattern(name string) (Pattern, error) {
	for _, p := range Patterns {
		if p.Name == name {
			return p, nil
		}
	}
	return Pattern{}, trace.BadParameter("there is no pattern %q", name)
}

// Run plays every pattern with every way and every seed.
func (e *Experiment) Run() ([]Result, error) {
	var out []Result
	for _, p := range e.Patterns {
		for _, name := range e.Ways {
			ways, err := ParseWays(name)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			for _, seed := range e.Seeds {
				opts := e.Options
				opts.Pattern, opts.Ways, opts.Seed = p, ways, seed
				r := Play(opts)
				r.Way = name
				out = append(out, r)
			}
		}
	}
	return out, nil
}
