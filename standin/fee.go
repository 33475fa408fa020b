package standin

import "fmt"

type (
	// FeeRequest is a request for the fee of one filing.
	FeeRequest struct {
		Docket string `json:"docket"`
		Court  string `json:"court"`
		Filing string `json:"filing"`
		// ClaimCents is the amount in dispute, in cents.
		ClaimCents int64 `json:"claim_cents"`
		Pages      int64 `json:"pages"`
	}

	// Fee is the fee of one filing, in cents.
	Fee struct {
		Docket         string `json:"docket"`
		BaseCents      int64  `json:"base_cents"`
		ClaimCents     int64  `json:"claim_cents"`
		PagesCents     int64  `json:"pages_cents"`
		SurchargeCents int64  `json:"surcharge_cents"`
		TotalCents     int64  `json:"total_cents"`
	}

	// feeRule is the rule for one kind of filing at one court.
	feeRule struct {
		court, filing string
		baseCents     int64
		// The fee includes claimPerMille of the claim above freeClaimCents, but
		// at most maxClaimCents.
		claimPerMille, freeClaimCents, maxClaimCents int64
		// The fee includes pageCents for each page above freePages.
		pageCents, freePages int64
		// surchargePerMille applies to the sum of the other parts.
		surchargePerMille int64
	}
)

// schedule is fictitious; it is not the fee schedule of any court.
var schedule = []feeRule{
	{court: "district", filing: "complaint", baseCents: 18_000, claimPerMille: 5, freeClaimCents: 500_000, maxClaimCents: 20_000, surchargePerMille: 80},
	{court: "district", filing: "motion", baseCents: 4_000, pageCents: 50, freePages: 20, surchargePerMille: 80},
	{court: "district", filing: "certified_copy", baseCents: 250, pageCents: 100},
	{court: "superior", filing: "complaint", baseCents: 27_500, claimPerMille: 4, freeClaimCents: 2_500_000, maxClaimCents: 60_000, surchargePerMille: 100},
	{court: "superior", filing: "motion", baseCents: 6_000, pageCents: 50, freePages: 20, surchargePerMille: 100},
	{court: "superior", filing: "bond_release", baseCents: 3_500, claimPerMille: 10, maxClaimCents: 10_000},
	{court: "probate", filing: "petition", baseCents: 21_500, claimPerMille: 2, freeClaimCents: 10_000_000, maxClaimCents: 150_000, surchargePerMille: 70},
	{court: "probate", filing: "inventory", baseCents: 7_500, pageCents: 75, freePages: 10},
}

// CourtFee computes a fee from the schedule. It fails if the schedule has no rule
// for the filing, or if ClaimCents or Pages is negative.
func CourtFee(r FeeRequest) (Fee, error) {
	if r.ClaimCents < 0 || r.Pages < 0 {
		return Fee{}, fmt.Errorf("docket %q: claim_cents and pages must not be negative", r.Docket)
	}
	for _, rule := range schedule {
		if rule.court == r.Court && rule.filing == r.Filing {
			return rule.apply(r), nil
		}
	}
	return Fee{}, fmt.Errorf("docket %q: the schedule has no filing %q at court %q", r.Docket, r.Filing, r.Court)
}

func (rule feeRule) apply(r FeeRequest) Fee {
	f := Fee{Docket: r.Docket, BaseCents: rule.baseCents}
	f.ClaimCents = min(max(r.ClaimCents-rule.freeClaimCents, 0)*rule.claimPerMille/1000, rule.maxClaimCents)
	f.PagesCents = max(r.Pages-rule.freePages, 0) * rule.pageCents
	f.SurchargeCents = (f.BaseCents + f.ClaimCents + f.PagesCents) * rule.surchargePerMille / 1000
	f.TotalCents = f.BaseCents + f.ClaimCents + f.PagesCents + f.SurchargeCents
	return f
}
