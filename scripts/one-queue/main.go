// Command one-queue compares the answers in the log of a play with those of one queue
// that sees all endpoints; see package reference.
//
//	fleetbench run SITE DAY --log all >LOG 2>&1
//	go run ./scripts/one-queue -cores 16 -endpoints 0:48,12.7:43 -until 40 LOG
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/reference"
)

// tally counts the jobs of a queue as they were played and as one queue serves them.
type tally struct {
	jobs, inGoal, served             int
	referenceInGoal, referenceServed int
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	cores := flag.Float64("cores", 16, "cores of an endpoint")
	endpoints := flag.String("endpoints", "", "numbers of endpoints, each with the second from which on it holds, as 0:48,12.7:43")
	idle := flag.Duration("idle", 3*time.Millisecond, "time for which a slot stands idle after a run")
	deviation := flag.Float64("deviation", 0.15, "standard deviation of the run times of a job's tasks, relative to their mean")
	until := flag.Float64("until", 0, "second at which the last job that counts arrives; 0 for all")
	flag.Parse()
	changes, err := parseChanges(*endpoints)
	if err != nil {
		return fmt.Errorf("%w; give -endpoints as SECOND:NUMBER pairs", err)
	}
	if flag.NArg() != 1 {
		return fmt.Errorf("%d logs are given; give one", flag.NArg())
	}
	f, err := os.Open(flag.Arg(0))
	if err != nil {
		return err
	}
	defer f.Close()
	jobs, err := reference.ReadLog(f)
	if err != nil {
		return err
	}
	results := reference.Serve(jobs, reference.Endpoints{Cores: *cores, Changes: changes, Idle: *idle, Deviation: *deviation}, 1)
	report(jobs, results, time.Duration(*until*float64(time.Second)))
	return nil
}

// parseChanges parses "0:48,12.7:43".
func parseChanges(text string) ([]reference.Change, error) {
	var list []reference.Change
	for _, part := range strings.Split(text, ",") {
		at, number, _ := strings.Cut(part, ":")
		seconds, err := strconv.ParseFloat(at, 64)
		if err != nil {
			return nil, err
		}
		n, err := strconv.Atoi(number)
		if err != nil {
			return nil, err
		}
		list = append(list, reference.Change{At: time.Duration(seconds * float64(time.Second)), Number: n})
	}
	return list, nil
}

func report(jobs []reference.Job, results []reference.Result, until time.Duration) {
	tallies := map[string]*tally{}
	for i, j := range jobs {
		if until > 0 && j.Arrived >= until {
			break
		}
		name := fmt.Sprintf("%d %s", j.Priority, j.Queue)
		if tallies[name] == nil {
			tallies[name] = &tally{}
		}
		y := tallies[name]
		y.jobs++
		y.inGoal += count(j.Answered && j.Took <= j.Goal)
		y.served += count(j.Answered && j.Took <= reference.UsefulFactor*j.Goal)
		y.referenceInGoal += count(results[i].InGoal)
		y.referenceServed += count(results[i].Served)
	}
	fmt.Println("priority queue: jobs; in goal, served; with one queue")
	for _, name := range slices.Sorted(maps.Keys(tallies)) {
		y := tallies[name]
		n := float64(y.jobs)
		fmt.Printf("%s: %d; %.3f, %.3f; %.3f, %.3f\n", name, y.jobs, float64(y.inGoal)/n, float64(y.served)/n, float64(y.referenceInGoal)/n, float64(y.referenceServed)/n)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
