package standin

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestCourtFee(t *testing.T) {
	tests := []struct {
		name    string
		request FeeRequest
		total   int64
		fails   bool
	}{
		{"base and surcharge", FeeRequest{Court: "district", Filing: "complaint", ClaimCents: 500_000}, 18_000 + 1_440, false},
		{"part of the claim", FeeRequest{Court: "district", Filing: "complaint", ClaimCents: 700_000}, 19_000 + 1_520, false},
		{"maximum claim", FeeRequest{Court: "district", Filing: "complaint", ClaimCents: 1 << 40}, 38_000 + 3_040, false},
		{"pages", FeeRequest{Court: "district", Filing: "certified_copy", Pages: 12}, 1_450, false},
		{"free pages", FeeRequest{Court: "probate", Filing: "inventory", Pages: 10}, 7_500, false},
		{"unknown filing", FeeRequest{Court: "district", Filing: "bond_release"}, 0, true},
		{"negative pages", FeeRequest{Court: "district", Filing: "motion", Pages: -1}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fee, err := CourtFee(tt.request)
			is.Equal(err != nil, tt.fails)
			is.Equal(fee.TotalCents, tt.total)
		})
	}
}

func TestOperatingPoint(t *testing.T) {
	supply := Source{From: 0, To: 1, Volts: 12}
	tests := []struct {
		name    string
		circuit Circuit
		volts   []float64
		amperes float64
		fails   bool
	}{
		{"divider", Circuit{Nodes: 3, Sources: []Source{supply}, Resistors: []Resistor{{1, 2, 1000}, {2, 0, 2000}}}, []float64{0, 12, 8}, 0.004, false},
		{"balanced bridge", Circuit{Nodes: 4, Sources: []Source{supply}, Resistors: []Resistor{{1, 2, 100}, {2, 0, 100}, {1, 3, 200}, {3, 0, 200}, {2, 3, 50}}}, []float64{0, 12, 6, 6}, 0.09, false},
		{"floating node", Circuit{Nodes: 4, Sources: []Source{supply}, Resistors: []Resistor{{1, 2, 1000}, {2, 0, 2000}}}, nil, 0, true},
		{"zero ohms", Circuit{Nodes: 3, Sources: []Source{supply}, Resistors: []Resistor{{1, 2, 0}}}, nil, 0, true},
		{"node out of range", Circuit{Nodes: 3, Sources: []Source{supply}, Resistors: []Resistor{{1, 9, 10}}}, nil, 0, true},
		{"no nodes", Circuit{}, nil, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, err := OperatingPoint(tt.circuit)
			is.Equal(err != nil, tt.fails)
			for i, v := range tt.volts {
				is.True(math.Abs(s.NodeVolts[i]-v) < 1e-9)
			}
			if !tt.fails {
				is.True(math.Abs(s.SourceAmperes[0]-tt.amperes) < 1e-9)
			}
		})
	}
}
