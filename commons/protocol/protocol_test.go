package protocol_test

import (
	"bytes"
	"encoding"
	"encoding/gob"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
)

var exported = cmp.Exporter(func(reflect.Type) bool { return true })

func TestMessagesRoundTripThroughGob(t *testing.T) {
	submit := protocol.NewSubmit(protocol.SubmitConfig{
		Attempt: "r-1.1", Request: "r-1", Tenant: "lantern", Model: "trail", Method: "POST", Path: "/v1/completions",
		ContentType: "application/json", Body: []byte("{}"), PrefixHashes: []uint64{1, 1 << 63}, Stream: true, Urgent: true, Tokens: 12, Remaining: time.Second,
	})
	page := protocol.NewPage(protocol.PageConfig{Attempt: "r-1.1", Offset: 7, Data: []byte("data"), State: protocol.AnswerComplete, Status: 200})
	position := protocol.NewPosition(protocol.PositionConfig{Attempt: "r-1.1", Offset: 11, Ended: true})
	receipt := protocol.NewReceipt(protocol.ReceiptConfig{Attempt: "r-1.1", Code: "leaving", RetryAfter: time.Second})
	batch := protocol.NewBatch(protocol.BatchConfig{Entry: "e", Submits: []protocol.Submit{submit}, Cancels: []string{"r-0.1"}})
	receipts := protocol.NewReceipts(protocol.ReceiptsConfig{Side: "s", Receipts: []protocol.Receipt{receipt}})
	read := protocol.NewRead(protocol.ReadConfig{Entry: "e", Number: 7, Resume: true, Positions: []protocol.Position{position}, Wait: time.Second})
	pages := protocol.NewPages(protocol.PagesConfig{Side: "s", Draining: true, Queued: 2, InFlight: 3, Pages: []protocol.Page{page}})
	loanRequest := protocol.NewLoanRequest(protocol.LoanRequestConfig{Tenant: "lantern", Min: 1, Backlog: 2, Reserve: 3})
	returned := protocol.NewReturn(protocol.ReturnConfig{Tenant: "lantern", Serial: 4, Tokens: 5})
	lend := protocol.NewLend(protocol.LendConfig{Borrower: "e/1", Serial: 6, Requests: []protocol.LoanRequest{loanRequest}, Returns: []protocol.Return{returned}})
	loan := protocol.NewLoan(protocol.LoanConfig{Tenant: "lantern", Tokens: 7, Wait: time.Second})
	loans := protocol.NewLoans(protocol.LoansConfig{Owner: "e/2", Loans: []protocol.Loan{loan}})
	outstanding := protocol.NewOutstandingLoan(protocol.OutstandingLoanConfig{Borrower: "e/1", Serial: 6, Tokens: 7, Remaining: time.Second})
	balance := protocol.NewBalance(protocol.BalanceConfig{Tenant: "lantern", Level: 8, Loans: []protocol.OutstandingLoan{outstanding}})
	handOver := protocol.NewHandOver(protocol.HandOverConfig{Role: "treasury-1", Epoch: 9, Balances: []protocol.Balance{balance}})
	handedOver := protocol.NewHandedOver(true)
	query := protocol.NewQuery(protocol.QueryConfig{Request: "r-1", Tenant: "lantern", Model: "trail", PrefixHashes: []uint64{1 << 63}, Urgent: true})
	probe := protocol.NewProbe(protocol.ProbeConfig{Entry: "e", Queries: []protocol.Query{query}})
	estimate := protocol.NewEstimate(protocol.EstimateConfig{Request: "r-1", Resident: true, MatchedBlocks: 3, FirstToken: time.Second})
	report := protocol.NewReport(protocol.ReportConfig{Side: "s", Draining: true, Queued: 2, InFlight: 3, Slots: 4, Estimates: []protocol.Estimate{estimate}})
	cases := map[string]struct {
		sent encoding.BinaryMarshaler
		got  encoding.BinaryUnmarshaler
		want encoding.BinaryUnmarshaler
	}{
		"batch":    {sent: batch, got: &protocol.Batch{}, want: &batch},
		"receipts": {sent: receipts, got: &protocol.Receipts{}, want: &receipts},
		"read":     {sent: read, got: &protocol.Read{}, want: &read},
		"probe":    {sent: probe, got: &protocol.Probe{}, want: &probe},
		"report":   {sent: report, got: &protocol.Report{}, want: &report},
		"pages":    {sent: pages, got: &protocol.Pages{}, want: &pages},

		"lend":        {sent: lend, got: &protocol.Lend{}, want: &lend},
		"loans":       {sent: loans, got: &protocol.Loans{}, want: &loans},
		"hand-over":   {sent: handOver, got: &protocol.HandOver{}, want: &handOver},
		"handed over": {sent: handedOver, got: &protocol.HandedOver{}, want: &handedOver},
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

// TestAbsurdLengthsTakeNoMemory guards against a message of a few bytes for which a process
// makes room for a million elements.
func TestAbsurdLengthsTakeNoMemory(t *testing.T) {
	const limit = 64 << 10 // bytes allocated for one message
	array, text := "\xdd\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff"
	cases := map[string]struct {
		message encoding.BinaryUnmarshaler
		data    string
	}{
		"requests of a batch": {message: &protocol.Batch{}, data: "\x95\xa1e\xa1s" + array},
		"cancels of a batch":  {message: &protocol.Batch{}, data: "\x95\xa1e\xa1s\x90" + array},
		"positions of a read": {message: &protocol.Read{}, data: "\x96\xa1e\x01\xc2" + array},
		"name of an entry":    {message: &protocol.Batch{}, data: "\x95" + text},
		"array of 16 bits":    {message: &protocol.Batch{}, data: "\x95\xa1e\xa1s\xdc\xff\xff"},
		"map":                 {message: &protocol.Batch{}, data: "\xdf\xff\xff\xff\xff"},
		"nested arrays":       {message: &protocol.Batch{}, data: strings.Repeat(array, 100)},
		"length cut":          {message: &protocol.Batch{}, data: "\x95\xdd\xff"},
		"nothing":             {message: &protocol.Batch{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := tc.message.UnmarshalBinary([]byte(tc.data))
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; err == nil || allocated > limit {
				t.Errorf("%d bytes allocated, error %v", allocated, err)
			}
		})
	}
}
