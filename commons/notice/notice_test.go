package notice_test

import (
	"bytes"
	"encoding"
	"encoding/gob"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/notice"
)

var exported = cmp.Exporter(func(reflect.Type) bool { return true })

func TestMessagesSurviveTheirEncoding(t *testing.T) {
	submit := notice.NewSubmit(notice.SubmitConfig{
		Attempt: "r-1.1", Request: "r-1", Tenant: "lantern", Model: "trail", Method: "POST", Path: "/v1/completions",
		ContentType: "application/json", Body: []byte("{}"), Prefix: []uint64{1, 1 << 63}, Stream: true, Urgent: true, Tokens: 12, Remaining: time.Second,
	})
	page := notice.NewPage(notice.PageConfig{Attempt: "r-1.1", Offset: 7, Data: []byte("data"), State: notice.Whole, Status: 200})
	position := notice.NewPosition(notice.PositionConfig{Attempt: "r-1.1", Offset: 11, Ended: true})
	receipt := notice.NewReceipt(notice.ReceiptConfig{Attempt: "r-1.1", Code: "leaving", RetryAfter: time.Second})
	batch := notice.NewBatch(notice.BatchConfig{Entry: "e", Submits: []notice.Submit{submit}, Cancels: []string{"r-0.1"}})
	receipts := notice.NewReceipts(notice.ReceiptsConfig{Side: "s", Receipts: []notice.Receipt{receipt}})
	read := notice.NewRead(notice.ReadConfig{Entry: "e", Number: 7, Resume: true, Positions: []notice.Position{position}, Wait: time.Second})
	pages := notice.NewPages(notice.PagesConfig{Side: "s", Leaving: true, Queued: 2, InFlight: 3, Pages: []notice.Page{page}})
	need := notice.NewNeed(notice.NeedConfig{Tenant: "lantern", Least: 1, All: 2, Stock: 3})
	back := notice.NewGiveBack(notice.GiveBackConfig{Tenant: "lantern", Serial: 4, Tokens: 5})
	lend := notice.NewLend(notice.LendConfig{Holder: "e/1", Serial: 6, Needs: []notice.Need{need}, GiveBacks: []notice.GiveBack{back}})
	loan := notice.NewLoan(notice.LoanConfig{Tenant: "lantern", Tokens: 7, Wait: time.Second})
	loans := notice.NewLoans(notice.LoansConfig{Holder: "e/2", Loans: []notice.Loan{loan}})
	debt := notice.NewDebt(notice.DebtConfig{Holder: "e/1", Serial: 6, Tokens: 7, Remaining: time.Second})
	balance := notice.NewBalance(notice.BalanceConfig{Tenant: "lantern", Level: 8, Debts: []notice.Debt{debt}})
	handOver := notice.NewHandOver(notice.HandOverConfig{Role: "treasury-1", Epoch: 9, Balances: []notice.Balance{balance}})
	handedOver := notice.NewHandedOver(true)
	query := notice.NewQuery(notice.QueryConfig{Request: "r-1", Tenant: "lantern", Model: "trail", Prefix: []uint64{1 << 63}, Urgent: true})
	probe := notice.NewProbe(notice.ProbeConfig{Entry: "e", Queries: []notice.Query{query}})
	estimate := notice.NewEstimate(notice.EstimateConfig{Request: "r-1", Resident: true, Matched: 3, FirstToken: time.Second})
	report := notice.NewReport(notice.ReportConfig{Side: "s", Leaving: true, Queued: 2, InFlight: 3, Slots: 4, Estimates: []notice.Estimate{estimate}})
	cases := map[string]struct {
		sent encoding.BinaryMarshaler
		got  encoding.BinaryUnmarshaler
		want encoding.BinaryUnmarshaler
	}{
		"batch":    {sent: batch, got: &notice.Batch{}, want: &batch},
		"receipts": {sent: receipts, got: &notice.Receipts{}, want: &receipts},
		"read":     {sent: read, got: &notice.Read{}, want: &read},
		"probe":    {sent: probe, got: &notice.Probe{}, want: &probe},
		"report":   {sent: report, got: &notice.Report{}, want: &report},
		"pages":    {sent: pages, got: &notice.Pages{}, want: &pages},

		"lend":        {sent: lend, got: &notice.Lend{}, want: &lend},
		"loans":       {sent: loans, got: &notice.Loans{}, want: &loans},
		"hand-over":   {sent: handOver, got: &notice.HandOver{}, want: &handOver},
		"handed over": {sent: handedOver, got: &notice.HandedOver{}, want: &handedOver},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var wire bytes.Buffer
			if err := gob.NewEncoder(&wire).Encode(tc.sent); err != nil {
				t.Fatal(err)
			}
			if err := gob.NewDecoder(&wire).Decode(tc.got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, tc.got, exported); diff != "" {
				t.Errorf("message (-want +got):\n%s", diff)
			}
		})
	}
}
