package standin

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// maxUnknowns is the maximum number of unknowns in a circuit's system of
// equations.
const maxUnknowns = 200

type (
	// Circuit is a linear circuit. Node 0 is ground.
	Circuit struct {
		// Nodes is the number of nodes, including ground.
		Nodes     int        `json:"nodes"`
		Resistors []Resistor `json:"resistors"`
		Sources   []Source   `json:"sources"`
	}

	// Resistor connects two nodes.
	Resistor struct {
		From int     `json:"from"`
		To   int     `json:"to"`
		Ohms float64 `json:"ohms"`
	}

	// Source is an ideal voltage source. The voltage of node To is Volts above
	// that of node From.
	Source struct {
		From  int     `json:"from"`
		To    int     `json:"to"`
		Volts float64 `json:"volts"`
	}

	// Solution is the operating point of a circuit.
	Solution struct {
		// NodeVolts is the voltage of each node.
		NodeVolts []float64 `json:"node_volts"`
		// SourceAmperes is the current out of each source's To node.
		SourceAmperes []float64 `json:"source_amperes"`
	}

	// equations is the system of linear equations of a modified nodal analysis.
	// Its unknowns are the voltages of all nodes except ground, followed by the
	// currents of the sources.
	equations struct {
		matrix *mat.Dense
		rhs    *mat.VecDense
	}
)

// OperatingPoint computes the voltages and currents of the circuit.
func OperatingPoint(c Circuit) (Solution, error) {
	if err := c.check(); err != nil {
		return Solution{}, err
	}
	n := c.Nodes - 1
	e := newEquations(n + len(c.Sources))
	for _, r := range c.Resistors {
		e.addResistor(r)
	}
	for i, s := range c.Sources {
		e.addSource(n+i, s)
	}
	var x mat.VecDense
	if err := x.SolveVec(e.matrix, e.rhs); err != nil {
		return Solution{}, fmt.Errorf("circuit has no single operating point; connect each node to ground: %w", err)
	}
	values := x.RawVector().Data
	return Solution{
		NodeVolts:     append([]float64{0}, rounded(values[:n])...),
		SourceAmperes: rounded(values[n:]),
	}, nil
}

// rounded returns the values rounded to nine decimals, so that answers do not
// depend on the processor.
func rounded(values []float64) []float64 {
	r := make([]float64, 0, len(values))
	for _, v := range values {
		r = append(r, math.Round(v*1e9)/1e9)
	}
	return r
}

func (c Circuit) check() error {
	if c.Nodes < 2 {
		return errors.New("circuit has no node besides ground")
	}
	if c.Nodes-1+len(c.Sources) > maxUnknowns {
		return fmt.Errorf("circuit has more than %d unknowns", maxUnknowns)
	}
	for i, r := range c.Resistors {
		if !(r.Ohms > 0) {
			return fmt.Errorf("resistor %d: ohms must be above 0", i)
		}
		if !c.hasNode(r.From) || !c.hasNode(r.To) {
			return fmt.Errorf("resistor %d: node does not exist", i)
		}
	}
	for i, s := range c.Sources {
		if !c.hasNode(s.From) || !c.hasNode(s.To) {
			return fmt.Errorf("source %d: node does not exist", i)
		}
	}
	return nil
}

func (c Circuit) hasNode(node int) bool { return node >= 0 && node < c.Nodes }

func newEquations(size int) equations {
	return equations{matrix: mat.NewDense(size, size, nil), rhs: mat.NewVecDense(size, nil)}
}

// add adds v to the coefficient in row i and column j. It does nothing for
// ground, whose index is -1, since ground has no row and no column.
func (e equations) add(i, j int, v float64) {
	if i >= 0 && j >= 0 {
		e.matrix.Set(i, j, e.matrix.At(i, j)+v)
	}
}

func (e equations) addResistor(r Resistor) {
	a, b := r.From-1, r.To-1
	siemens := 1 / r.Ohms
	e.add(a, a, siemens)
	e.add(b, b, siemens)
	e.add(a, b, -siemens)
	e.add(b, a, -siemens)
}

// addSource adds the source. Its current is the unknown with index row.
func (e equations) addSource(row int, s Source) {
	from, to := s.From-1, s.To-1
	e.add(row, to, 1)
	e.add(row, from, -1)
	e.add(to, row, -1)
	e.add(from, row, 1)
	e.rhs.SetVec(row, s.Volts)
}
