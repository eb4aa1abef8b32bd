// Command sycamorekeel-soak runs daemons of the platform path as separate
// processes, injects faults at random and checks the promises from outside.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/platform/soak"
)

type flags struct {
	Binary  string        `arg:"" type:"existingfile" help:"The daemon's program, sycamorekeel-edge."`
	Seed    uint64        `default:"1" help:"First seed."`
	Seeds   int           `default:"1" help:"How many seeds, one after the other."`
	VMs     int           `name:"vms" default:"6" help:"Daemons."`
	Shards  int           `default:"5" help:"Shards of the index, three upstreams each."`
	Callers int           `default:"12" help:"Callers."`
	Faulty  time.Duration `default:"20s" help:"How long faults are injected."`
	Calm    time.Duration `default:"18s" help:"How long callers go on after that; service has 12 s to recover."`
	Dir     string        `default:"soak-results" help:"Folder for logs and settings, one folder a seed."`
	Readers bool          `help:"Measure instead how long a change takes to reach every VM while readers of the store are in trouble."`
	Idle    bool          `help:"Measure instead what control alone costs each VM of a fleet without callers."`
	Rolling int           `placeholder:"ROUNDS" help:"Instead restart all VMs in turn, so many times, while callers go on, and name each request that was read and not answered. Use 9 VMs, as the small sites have."`
	Busy    int           `help:"With --rolling: processes that use the processor beside the VMs."`
	Pause   bool          `help:"With --rolling: freeze each VM once, as it gets its signal or in the last second of its grace period."`
	Verbose bool          `short:"v" help:"Print each fault."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("sycamorekeel-soak"), kong.Description("Run the real daemons under random faults and check the promises. Exit status 1 when one is broken."))
	broken, err := f.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
	}
	if err != nil || broken {
		os.Exit(1)
	}
}

func (f *flags) run() (broken bool, err error) {
	binary, err := filepath.Abs(f.Binary)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	switch {
	case f.Readers:
		return false, f.readers(binary)
	case f.Rolling > 0:
		return f.rolling(binary)
	case f.Idle:
		return false, f.idle(binary)
	default:
		return f.soak(binary)
	}
}

func (f *flags) soak(binary string) (broken bool, err error) {
	fmt.Println("| seed | faults | requests | served | caller left | arrivals | p50 ms | p99 ms | broken promises |\n|---|---|---|---|---|---|---|---|---|")
	for seed := f.Seed; seed < f.Seed+uint64(f.Seeds); seed++ {
		opts, err := f.options(binary, fmt.Sprint(seed))
		if err != nil {
			return broken, err
		}
		opts.Seed = seed
		if f.Verbose {
			opts.Say = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
		}
		r, err := soak.Run(opts)
		if err != nil {
			return broken, err
		}
		fmt.Printf("| %d | %d | %d | %d | %d | %d | %d | %d | %d |\n",
			r.Seed, r.Faults, r.Requests, r.Served, r.Left, r.Arrivals, r.Median.Milliseconds(), r.Tail.Milliseconds(), len(r.Violations))
		for _, v := range r.Violations {
			fmt.Println("  " + v)
		}
		broken = broken || len(r.Violations) > 0
	}
	return broken, nil
}

// options is a run whose files go to a folder of its own.
func (f *flags) options(binary, folder string) (soak.Options, error) {
	dir, err := filepath.Abs(filepath.Join(f.Dir, folder))
	return soak.Options{
		Binary: binary, Seed: f.Seed, VMs: f.VMs, Shards: f.Shards, Callers: f.Callers, Faulty: f.Faulty, Calm: f.Calm, Dir: dir,
	}, trace.ConvertSystemError(err)
}

// rolling restarts all VMs in turn, for each seed.
func (f *flags) rolling(binary string) (broken bool, err error) {
	fmt.Println("| seed | stops | killed | longest s | requests | served | not run | unknown | no connection | timed out | crossed | excused | lost |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for seed := f.Seed; seed < f.Seed+uint64(f.Seeds); seed++ {
		opts, err := f.options(binary, fmt.Sprintf("rolling-%d", seed))
		if err != nil {
			return broken, err
		}
		opts.Seed = seed
		if f.Verbose {
			opts.Say = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
		}
		r, err := soak.Roll(soak.Rolling{Options: opts, Rounds: f.Rolling, Busy: f.Busy, Pause: f.Pause})
		if err != nil {
			return broken, err
		}
		fmt.Printf("| %d | %d | %d | %.2f | %d | %d | %d | %d | %d | %d | %d | %d | %d |\n", seed, r.Stops, r.Killed, r.Longest.Seconds(),
			r.Requests, r.Served, r.NotRun, r.Unknown, r.RefusedConns, r.TimedOut, r.Crossed, r.Excused, len(r.Lost))
		for _, l := range r.Lost {
			fmt.Println("  " + l)
		}
		broken = broken || len(r.Lost) > 0
	}
	return broken, nil
}

func (f *flags) idle(binary string) error {
	opts, err := f.options(binary, "idle")
	if err != nil {
		return err
	}
	row, err := soak.MeasureIdle(opts)
	if err != nil {
		return err
	}
	fmt.Println("| VMs | calls to the store a second | kB to peers a second, middle / most | % of a core | MB |\n|---|---|---|---|---|")
	fmt.Println(row)
	return nil
}

func (f *flags) readers(binary string) error {
	opts, err := f.options(binary, "readers")
	if err != nil {
		return err
	}
	rows, err := soak.Readers(opts)
	if err != nil {
		return err
	}
	fmt.Println("| situation | median ms | last VM ms | not in time | calls to the store |\n|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Println(r)
	}
	return nil
}
