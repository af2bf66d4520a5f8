package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// request returns a request with the given fingerprint and parts of its prompt.
func request(content byte, parts ...string) *httpmeta.Request {
	config := httpmeta.RequestConfig{Fingerprint: httpmeta.Fingerprint{content}}
	for _, id := range parts {
		config.Parts = append(config.Parts, httpmeta.NewPart(httpmeta.PartConfig{ID: id}))
	}
	return httpmeta.NewRequest(config)
}

// crashAt records that a backend server crashed under a request, a time after noon.
func crashAt(c *quarantine.Core, at time.Duration, r *httpmeta.Request, backend string) {
	c.Crashed(noon.Add(at), quarantine.CrashConfig{Request: r, Backend: backend})
}

func admitted(c *quarantine.Core, at time.Duration, number uint64, r *httpmeta.Request) bool {
	_, ok := c.Admit(noon.Add(at), number, r)
	return ok
}

func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	type crash struct {
		at      time.Duration
		backend string
	}
	cases := map[string]struct {
		crashes []crash
		want    bool // quarantined
	}{
		"none":  {},
		"two":   {crashes: []crash{{0, "a"}, {time.Second, "b"}}},
		"three": {crashes: []crash{{0, "a"}, {time.Second, "b"}, {2 * time.Second, "c"}}, want: true},
		"three connections of one backend server": {crashes: []crash{{0, "a"}, {time.Second, "a"}, {2 * time.Second, "a"}}},
		"two copies in one crash, one in another": {crashes: []crash{{0, "a"}, {time.Millisecond, "a"}, {time.Second, "b"}}, want: true},
		"three copies in one crash":               {crashes: []crash{{0, "a"}, {0, "a"}, {0, "a"}}},
		"a rack loses power":                      {crashes: []crash{{0, "a"}, {100 * time.Millisecond, "b"}, {200 * time.Millisecond, "c"}, {220 * time.Millisecond, "d"}}},
		"two racks lose power":                    {crashes: []crash{{0, "a"}, {time.Millisecond, "b"}, {time.Second, "c"}, {time.Second, "d"}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: "x"})
			for _, crash := range tc.crashes {
				crashAt(c, crash.at, request(1), crash.backend)
			}
			if diff := cmp.Diff(tc.want, !admitted(c, 3*time.Second, 1, request(1))); diff != "" {
				t.Errorf("quarantined (-want +got):\n%s", diff)
			}
			if !admitted(c, 3*time.Second, 2, request(2)) {
				t.Error("another request quarantined as well")
			}
		})
	}
}

func TestPartOfPromptsIsQuarantined(t *testing.T) {
	crash := func(at time.Duration, parts ...string) func(c *quarantine.Core) {
		return func(c *quarantine.Core) {
			crashAt(c, at, request(byte(at/time.Millisecond%251), parts...), fmt.Sprint(at))
		}
	}
	answer := func(at time.Duration, parts ...string) func(c *quarantine.Core) {
		return func(c *quarantine.Core) { c.Answering(request(0, parts...), noon.Add(at)) }
	}
	cases := map[string]struct {
		steps []func(c *quarantine.Core)
		want  []string // quarantined parts
	}{
		"what is answered beside it": {
			steps: []func(*quarantine.Core){crash(0, "t", "d", "1"), answer(100*time.Millisecond, "t", "2"), crash(time.Second, "t", "d", "3"), crash(2*time.Second, "t", "d", "4")},
			want:  []string{"d"},
		},
		"the more specific of two that only occur together": {
			steps: []func(*quarantine.Core){crash(0, "t", "s", "d", "1"), crash(time.Second, "t", "s", "d", "2"), crash(2*time.Second, "t", "s", "d", "3")},
			want:  []string{"d"},
		},
		"not the one that was answered before": {
			steps: []func(*quarantine.Core){answer(-time.Second, "t", "s", "0"), crash(0, "t", "d", "s", "1"), crash(time.Second, "t", "d", "s", "2"), crash(2*time.Second, "t", "d", "s", "3")},
			want:  []string{"d"},
		},
		"the one with more crashes": {
			steps: []func(*quarantine.Core){crash(0, "d", "s", "1"), crash(time.Second, "d", "s", "2"), crash(2*time.Second, "d", "s", "3"), crash(3*time.Second, "d", "4")},
			want:  []string{"d"},
		},
		"two at the same time": {
			steps: []func(*quarantine.Core){
				crash(0, "t", "d", "1"), crash(300*time.Millisecond, "t", "e", "2"), crash(600*time.Millisecond, "t", "d", "3"), crash(900*time.Millisecond, "t", "e", "4"),
				answer(time.Second, "t", "5"), crash(1200*time.Millisecond, "t", "d", "6"), crash(1500*time.Millisecond, "t", "e", "7"),
			},
			want: []string{"d", "e"},
		},
		"many crashes in two events": {
			steps: []func(*quarantine.Core){crash(0, "d", "1"), crash(time.Millisecond, "d", "2"), crash(2*time.Millisecond, "d", "3"), crash(300*time.Millisecond, "d", "4"), crash(301*time.Millisecond, "d", "5")},
			want:  []string{"d"},
		},
		"many crashes at once": {
			steps: []func(*quarantine.Core){crash(0, "s", "1"), crash(time.Millisecond, "s", "2"), crash(2*time.Millisecond, "s", "3"), crash(100*time.Millisecond, "s", "4"), crash(101*time.Millisecond, "s", "5")},
		},
		"the last part": {
			steps: []func(*quarantine.Core){crash(0, "s"), crash(time.Second, "s"), crash(2*time.Second, "s")},
		},
		"answers that had gone on for a while": {
			steps: []func(*quarantine.Core){func(c *quarantine.Core) {
				for n := range 3 {
					c.Crashed(noon.Add(time.Duration(n)*time.Second), quarantine.CrashConfig{Request: request(byte(n), "s", "0"), Backend: fmt.Sprint(n), Answering: true})
				}
			}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: "x"})
			for _, step := range tc.steps {
				step(c)
			}
			var got []string
			for _, part := range []string{"t", "s", "d", "e"} {
				if !admitted(c, 3100*time.Millisecond, 1, request(250, part, "own")) {
					got = append(got, part)
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("quarantined parts (-want +got):\n%s", diff)
			}
		})
	}
}

// threeCrashes records three crashes of a request, the last at two seconds.
func threeCrashes(c *quarantine.Core, r *httpmeta.Request) {
	for n := range 3 {
		crashAt(c, time.Duration(n)*time.Second, r, fmt.Sprint("b", n))
	}
}

func TestAnswerClearsEarlierCrashes(t *testing.T) {
	cases := map[string]struct {
		began time.Duration // start of the answer
		want  bool          // still quarantined
	}{
		"begun after all crashes":          {began: 3 * time.Second},
		"begun between the crashes":        {began: 1500 * time.Millisecond},
		"begun before them, ended later":   {began: -time.Second, want: true},
		"begun at the moment of the first": {began: 0, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: "x"})
			threeCrashes(c, request(1))
			c.Completed(request(1), noon.Add(tc.began))
			if diff := cmp.Diff(tc.want, !admitted(c, 4*time.Second, 1, request(1))); diff != "" {
				t.Errorf("quarantined (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLobbiesTryOneRequestAtATime guards against a quarantine without an end, and
// against lobbies that all try the suspect when it ends.
func TestLobbiesTryOneRequestAtATime(t *testing.T) {
	lobbies := make(map[string]*quarantine.Core)
	for _, self := range []string{"x", "y", "z"} {
		lobbies[self] = quarantine.New(quarantine.Config{Self: self})
		threeCrashes(lobbies[self], request(1))
	}
	var tried []string
	number := uint64(0)
	for at := 2 * time.Second; at < 28*time.Second; at += 50 * time.Millisecond {
		for _, self := range []string{"x", "y", "z"} {
			for other := range lobbies {
				if other != self {
					lobbies[self].UpdatePeer(noon.Add(at), protocol.NewDigest(protocol.DigestConfig{Sender: other}))
				}
			}
			if number++; admitted(lobbies[self], at, number, request(1)) {
				tried = append(tried, fmt.Sprint(self, " ", at))
				if !admitted(lobbies[self], at, number, request(1)) {
					t.Error("the trial was not admitted when it was placed again")
				}
			}
		}
	}
	if diff := cmp.Diff([]string{"x 22s", "y 24s", "z 26s"}, tried); diff != "" {
		t.Errorf("trials (-want +got):\n%s", diff)
	}
	for self, c := range lobbies {
		var states []quarantine.State
		for _, change := range c.Changes() {
			states = append(states, change.State())
		}
		if diff := cmp.Diff([]quarantine.State{quarantine.Quarantined, quarantine.Tried}, states); diff != "" {
			t.Errorf("changes at %s (-want +got):\n%s", self, diff)
		}
	}
}

func TestQuarantineGrowsWithCrashesAndEnds(t *testing.T) {
	c := quarantine.New(quarantine.Config{Self: "x"})
	threeCrashes(c, request(1))
	var trials []time.Duration
	forgotten := 102150*time.Millisecond + 24*time.Hour
	for at := 2 * time.Second; at <= forgotten+time.Second; at += 100 * time.Millisecond {
		c.Suspects(noon.Add(at))
		if number := uint64(at); admitted(c, at, number, request(1)) {
			trials = append(trials, at)
			crashAt(c, at+50*time.Millisecond, request(1), fmt.Sprint("t", at))
		}
	}
	want := []time.Duration{22 * time.Second, 102100 * time.Millisecond, forgotten + 50*time.Millisecond}
	if diff := cmp.Diff(want, trials); diff != "" {
		t.Errorf("trials (-want +got):\n%s", diff)
	}
	if n := len(c.Suspects(noon.Add(49 * time.Hour))); n != 0 {
		t.Errorf("%d suspects remembered a day later", n)
	}
	if !admitted(c, 49*time.Hour, 1, request(1)) {
		t.Error("request not admitted a day later")
	}
}

// TestSuspectThatComesSeldomIsHeldBack guards against a crashing request that is forgotten
// between two times at which it comes.
func TestSuspectThatComesSeldomIsHeldBack(t *testing.T) {
	cases := map[string]struct {
		lifetime time.Duration // zero for the default
		pause    time.Duration // between two times
		want     int           // requests sent of ten
	}{
		"every second":                        {pause: time.Second, want: 0},
		"every 63 s":                          {pause: 63 * time.Second, want: 2},
		"every hour":                          {pause: 61 * time.Minute, want: 2},
		"every hour, remembered for a minute": {lifetime: time.Minute, pause: 61 * time.Minute, want: 10},
		"every 63 s, remembered for ten":      {lifetime: 10 * time.Minute, pause: 63 * time.Second, want: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: "x", Lifetime: tc.lifetime})
			threeCrashes(c, request(1))
			sent := 0
			for n := range 10 {
				at := 2*time.Second + time.Duration(n+1)*tc.pause
				c.Suspects(noon.Add(at))
				if admitted(c, at, uint64(n+1), request(1)) {
					sent++
					crashAt(c, at, request(1), fmt.Sprint("t", n))
				}
			}
			if diff := cmp.Diff(tc.want, sent); diff != "" {
				t.Errorf("requests sent (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOldSuspectsAreSentSeldom guards against digests that are full of suspects which all
// lobbies know.
func TestOldSuspectsAreSentSeldom(t *testing.T) {
	cases := map[string]struct {
		from time.Duration // after the crash
		want int           // times sent within the minute from then on
	}{
		"just learnt":                    {want: 31},
		"after half an hour":             {from: 30 * time.Minute, want: 1},
		"shortly before it is forgotten": {from: 23 * time.Hour, want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: "x"})
			crashAt(c, 0, request(1), "a")
			sent := 0
			for at := time.Duration(0); at < tc.from+time.Minute; at += 50 * time.Millisecond {
				if n := len(c.Suspects(noon.Add(at))); at >= tc.from {
					sent += n
				}
			}
			if diff := cmp.Diff(tc.want, sent); diff != "" {
				t.Errorf("times sent (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLobbiesAgree guards against lobbies that differ for good after digests were lost,
// doubled, late or out of order, and against a lobby that forgets in a restart.
func TestLobbiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lobbies := []*quarantine.Core{}
		for n := range 3 {
			lobbies = append(lobbies, quarantine.New(quarantine.Config{Self: fmt.Sprint(n)}))
		}
		type letter struct {
			to     int
			digest protocol.Digest
		}
		var letters []letter
		serial := int64(0)
		exchange := func(now time.Time, lossy bool) {
			for from, c := range lobbies {
				serial++
				digest := protocol.NewDigest(protocol.DigestConfig{Sender: fmt.Sprint(from), Incarnation: 1, Serial: serial, Suspects: c.Suspects(now)})
				for to := range lobbies {
					if to == from || lossy && random.IntN(3) == 0 {
						continue
					}
					letters = append(letters, letter{to, digest})
					if lossy && random.IntN(3) == 0 {
						letters = append(letters, letter{to, digest})
					}
				}
			}
			if lossy {
				random.Shuffle(len(letters), func(a, b int) { letters[a], letters[b] = letters[b], letters[a] })
			}
			kept := 0
			if lossy {
				kept = len(letters) / 2
			}
			for _, l := range letters[kept:] {
				lobbies[l.to].UpdatePeer(now, l.digest)
			}
			letters = letters[:kept]
		}
		now := noon
		for step := range 60 {
			now = now.Add(50 * time.Millisecond)
			at := random.IntN(3)
			switch random.IntN(6) {
			case 0, 1:
				lobbies[at].Crashed(now, quarantine.CrashConfig{Request: request(byte(random.IntN(3))), Backend: fmt.Sprint(step / 4)})
			case 2:
				lobbies[at].Completed(request(2), now)
			case 3:
				if step < 30 {
					lobbies[at] = quarantine.New(quarantine.Config{Self: fmt.Sprint(at)})
				}
			}
			exchange(now, true)
		}
		for range 90 {
			now = now.Add(50 * time.Millisecond)
			exchange(now, false)
		}
		for content := range byte(3) {
			var quarantined []bool
			for _, c := range lobbies {
				_, ok := c.Admit(noon, 1, request(content)) // at a time at which no trial may begin
				quarantined = append(quarantined, !ok)
			}
			if slices.Contains(quarantined, true) && slices.Contains(quarantined, false) {
				t.Errorf("request %d quarantined: %v", content, quarantined)
			}
		}
	})
}

func TestMemoryAndDigestsAreBounded(t *testing.T) {
	c := quarantine.New(quarantine.Config{Self: "x"})
	threeCrashes(c, request(1))
	for n := range 5000 {
		r := httpmeta.NewRequest(httpmeta.RequestConfig{Fingerprint: httpmeta.Fingerprint{2, byte(n), byte(n >> 8)}})
		c.Crashed(noon.Add(3*time.Second), quarantine.CrashConfig{Request: r, Backend: "z"})
	}
	total := 0
	for digest := range 100 {
		sent := len(c.Suspects(noon.Add(3*time.Second + time.Duration(digest)*time.Millisecond)))
		if sent > 32 {
			t.Errorf("%d suspects in one digest", sent)
		}
		total += sent
	}
	if total > 512 {
		t.Errorf("%d suspects remembered", total)
	}
	if admitted(c, 4*time.Second, 1, request(1)) {
		t.Error("quarantine forgotten among many suspects")
	}
}

func TestUnusableSuspectsAreIgnored(t *testing.T) {
	crashes := []protocol.CrashConfig{{Backend: "a", Age: 4 * time.Second}, {Backend: "b", Age: 3 * time.Second}, {Backend: "c", Age: 2 * time.Second}}
	old := slices.Clone(crashes)
	for n := range old {
		old[n].Age += 24*time.Hour - 5*time.Second
	}
	id := httpmeta.Fingerprint{1}.String()
	cases := map[string]struct {
		suspect protocol.SuspectConfig
		want    bool // quarantined
	}{
		"usable":          {suspect: protocol.SuspectConfig{Kind: 1, ID: id, Crashes: crashes}, want: true},
		"unknown kind":    {suspect: protocol.SuspectConfig{Kind: 77, ID: id, Crashes: crashes}},
		"no crash":        {suspect: protocol.SuspectConfig{Kind: 1, ID: id}},
		"about to expire": {suspect: protocol.SuspectConfig{Kind: 1, ID: id, Crashes: old}},
		"absurd age":      {suspect: protocol.SuspectConfig{Kind: 1, ID: id, Crashes: []protocol.CrashConfig{{Backend: "a", Age: 1 << 62}, {Backend: "b", Age: -1 << 62}}}},
		"far too many":    {suspect: protocol.SuspectConfig{Kind: 1, ID: id, Crashes: slices.Repeat(crashes, 1000)}, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: "x"})
			c.UpdatePeer(noon, protocol.NewDigest(protocol.DigestConfig{Sender: "y", Suspects: []protocol.SuspectConfig{tc.suspect}}))
			if diff := cmp.Diff(tc.want, !admitted(c, time.Millisecond, 1, request(1))); diff != "" {
				t.Errorf("quarantined (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRequestsOfASuspectRunOneAtATime guards against copies that are sent together after a
// crash, and against a popular request or prompt part that waits although it is sound.
func TestRequestsOfASuspectRunOneAtATime(t *testing.T) {
	crash := func(at time.Duration, r *httpmeta.Request, backends ...string) func(c *quarantine.Core) {
		return func(c *quarantine.Core) {
			for _, backend := range backends {
				crashAt(c, at, r, backend)
			}
		}
	}
	answered := func(at time.Duration, r *httpmeta.Request) func(c *quarantine.Core) {
		return func(c *quarantine.Core) { c.Completed(r, noon.Add(at)) }
	}
	answering := func(at time.Duration, r *httpmeta.Request) func(c *quarantine.Core) {
		return func(c *quarantine.Core) { c.Answering(r, noon.Add(at)) }
	}
	cases := map[string]struct {
		before  []func(c *quarantine.Core)
		running []*httpmeta.Request
		self    string // lobbies take turns in the order of their addresses; the other one is "m"
		want    bool
	}{
		"no crash":                         {running: []*httpmeta.Request{request(1, "p", "own")}},
		"a crash, nothing runs":            {before: []func(*quarantine.Core){crash(0, request(1, "p", "own"), "a")}},
		"a crash, another runs":            {before: []func(*quarantine.Core){crash(0, request(1, "p", "own"), "a")}, running: []*httpmeta.Request{request(2, "q", "own")}},
		"a crash, a copy runs":             {before: []func(*quarantine.Core){crash(0, request(1, "p", "own"), "a")}, running: []*httpmeta.Request{request(2), request(1)}, want: true},
		"a copy was answered since":        {before: []func(*quarantine.Core){crash(0, request(1), "a"), answered(time.Millisecond, request(1))}, running: []*httpmeta.Request{request(1)}},
		"a part crashed, one with it runs": {before: []func(*quarantine.Core){crash(0, request(3, "p", "x"), "a")}, running: []*httpmeta.Request{request(4, "p", "y")}, want: true},
		"the part was answered before":     {before: []func(*quarantine.Core){answering(0, request(5, "p", "z")), crash(time.Millisecond, request(3, "p", "x"), "a")}, running: []*httpmeta.Request{request(4, "p", "y")}},
		"the part is answered elsewhere":   {before: []func(*quarantine.Core){crash(time.Millisecond, request(3, "p", "x"), "a"), answering(0, request(5, "p", "z"))}, running: []*httpmeta.Request{request(4, "p", "y")}},
		"three crashes at once, own turn":  {before: []func(*quarantine.Core){crash(700*time.Millisecond, request(1), "a", "b", "c")}, self: "a"},
		"two copies in one crash, no turn": {before: []func(*quarantine.Core){crash(700*time.Millisecond, request(1), "a", "a")}, self: "z", want: true},
		"three crashes, too soon":          {before: []func(*quarantine.Core){crash(900*time.Millisecond, request(1), "a", "b", "c")}, self: "a", want: true},
		"three crashes at once, no turn":   {before: []func(*quarantine.Core){crash(700*time.Millisecond, request(1), "a", "b", "c")}, self: "z", want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: tc.self})
			for _, event := range tc.before {
				event(c)
			}
			now := noon.Add(time.Second)
			c.UpdatePeer(now, protocol.NewDigest(protocol.DigestConfig{Sender: "m"}))
			if diff := cmp.Diff(tc.want, c.MustWait(now, request(1, "p", "own"), slices.Values(tc.running))); diff != "" {
				t.Errorf("must wait (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTrialsLeaveRoomForCopiesSentBeforeTheVerdict guards against trials that, with the
// copies that two lobbies without contact to the others had sent, are too many retries.
func TestTrialsLeaveRoomForCopiesSentBeforeTheVerdict(t *testing.T) {
	const (
		span    = 40 * time.Second // after the verdict
		retries = 3                // allowed after the third crash
		copies  = 2                // sent before the verdict, one by each of the two lobbies
	)
	c := quarantine.New(quarantine.Config{Self: "x"})
	threeCrashes(c, request(1))
	trials := 0
	for at := 2 * time.Second; at < 2*time.Second+span; at += 50 * time.Millisecond {
		if number := uint64(at); admitted(c, at, number, request(1)) {
			trials++
			crashAt(c, at+50*time.Millisecond, request(1), fmt.Sprint("t", at))
		}
	}
	if trials > retries-copies {
		t.Errorf("%d trials within %v, want at most %d", trials, span, retries-copies)
	}
}

// TestPartOfALongPromptIsQuarantined guards against a part that is overlooked since the
// prompts have many more parts than are remembered, none of them alike.
func TestPartOfALongPromptIsQuarantined(t *testing.T) {
	const parts = 1300
	for _, place := range []int{0, 31, 32, 700, parts - 2} {
		t.Run(fmt.Sprint("at ", place), func(t *testing.T) {
			c := quarantine.New(quarantine.Config{Self: "x"})
			for n := range 4 {
				ids := make([]string, parts)
				for part := range ids {
					ids[part] = fmt.Sprint(n, "-", part)
				}
				ids[place] = "deadly"
				crashAt(c, time.Duration(n)*time.Second, request(byte(n), ids...), fmt.Sprint("b", n))
			}
			if admitted(c, 4*time.Second, 1, request(9, "deadly", "own")) {
				t.Error("not quarantined")
			}
			if !admitted(c, 4*time.Second, 2, request(9, "0-5", "own")) {
				t.Error("another part quarantined as well")
			}
			c.Answering(request(9, "deadly", "own"), noon.Add(4*time.Second))
			if !admitted(c, 4*time.Second, 3, request(9, "deadly", "own")) {
				t.Error("quarantined after an answer")
			}
		})
	}
}

// TestPartsLeaveRoomToRequests guards against a request whose crashes are forgotten for the
// parts of long prompts.
func TestPartsLeaveRoomToRequests(t *testing.T) {
	c := quarantine.New(quarantine.Config{Self: "x"})
	for n := range 3 {
		crashAt(c, time.Duration(2*n)*time.Second, request(1), fmt.Sprint("b", n))
		for other := range 40 {
			crashAt(c, time.Duration(2*n+1)*time.Second, longPrompt(100+40*n+other, 130), fmt.Sprint("c", n))
		}
	}
	if admitted(c, 6*time.Second, 1, request(1)) {
		t.Error("not quarantined")
	}
}
