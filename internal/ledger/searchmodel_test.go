package ledger

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/rendezvous"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// searchUnit is the step of the clock in a search, and the shortest of the ledger's delays.
const searchUnit = 10 * time.Millisecond

// searchConfig keeps the order of the ledger's delays and makes them short in steps.
func searchConfig() Config {
	c := DefaultConfig(simDC)
	c.RetryInterval, c.ProbeTimeout = searchUnit, searchUnit
	c.ClaimTimeout, c.AttachRetryInterval = 2*searchUnit, 2*searchUnit
	c.ClockDriftPercent = 0
	return c
}

// searchCase bounds the events of a search. Entry 0 is the key's home, entry 1 its backup.
type searchCase struct {
	name     string
	submits  []int // entries that get a copy of the request, in this order
	refuses  []int // entries that refuse a copy without a claim
	repeats  int   // messages that may arrive twice
	ticks    int   // steps of the clock
	kills    bool  // an entry may be lost and taken out of the view
	killed   int   // which one
	depth    int
	disabled disabledSafeguards
}

// searchStep is one step: an event and its subject.
type searchStep struct {
	kind byte
	arg  int
}

// The kinds of steps.
const (
	stepTick    = 't'
	stepSubmit  = 's'
	stepRefuse  = 'r'
	stepDeliver = 'd' // a message; one that never arrives is lost
	stepRepeat  = 'D' // a message, which arrives again later
	stepStart   = 'S' // work whose claim was granted
	stepGiveUp  = 'G' // such work is refused instead
	stepFinish  = 'F' // work that runs
	stepKill    = 'k'
	stepLearn   = 'l' // a member learns the view without the lost entry
	stepInForce = 'v' // a member learns that this view is in force
)

// searchMessage is a message on its way. Its text identifies it.
type searchMessage struct {
	from, to int
	message  Message
	text     string
}

// searchRequest is a copy of the request.
type searchRequest struct {
	at       int // entry
	received int // number of the step
	refuse   bool
	state    byte // 'w' waits, 'g' granted, 'r' runs, 'e' ended
}

// searchState is the state after a sequence of steps.
type searchState struct {
	c                                *searchCase
	now                              time.Time
	key                              key.Key
	ledgers                          []*Ledger
	members                          []structs.Member
	messages                         []searchMessage
	requests                         []searchRequest
	step                             int
	ticks, submits, refuses, repeats int
	killed, started                  bool
	killedAt                         time.Time
	refusedAt                        int // number of the step, 0 for none
	learned, handedOver, inForce     []bool
	failure                          string
}

// searchKey returns a key with entry 0 as its home and entry 1 as its backup.
func searchKey(names []string) key.Key {
	for i := uint64(0); ; i++ {
		w := newWorld(i, 0)
		k := w.newKey()
		if a, b := rendezvous.TopTwo(k.Hash(), names); a == 0 && b == 1 {
			return k
		}
	}
}

func newSearchState(c *searchCase, k key.Key, names []string) *searchState {
	s := &searchState{c: c, now: simEpoch.Add(time.Second), key: k}
	for _, name := range names {
		s.members = append(s.members, structs.Member{Name: name, Incarnation: 1, Addr: name})
	}
	for _, m := range s.members {
		l := New(searchConfig(), m)
		l.disabled = c.disabled
		s.ledgers = append(s.ledgers, l)
	}
	s.learned, s.handedOver, s.inForce = make([]bool, len(names)), make([]bool, len(names)), make([]bool, len(names))
	for i := range s.ledgers {
		s.do(i, ViewLearned{View: structs.View{Version: 1, Members: s.members}})
		s.do(i, ViewInForce{Version: 1})
		s.handedOver[i] = false
	}
	return s
}

// do passes an event to the ledger of an entry and carries out the actions.
func (s *searchState) do(i int, e Event) {
	for _, a := range s.ledgers[i].Step(s.now, s.now.Add(time.Hour), e) {
		switch a := a.(type) {
		case Send:
			to := slices.IndexFunc(s.members, a.To.Same)
			if s.killed && to == s.c.killed {
				continue
			}
			text, err := json.Marshal(a.Message)
			if err != nil {
				panic(err)
			}
			m := searchMessage{i, to, a.Message, fmt.Sprintf("%d>%d %T %s", i, to, a.Message, text)}
			if !slices.ContainsFunc(s.messages, func(o searchMessage) bool { return o.text == m.text }) {
				s.messages = append(s.messages, m)
			}
		case Reply:
			s.reply(int(a.CallID)-1, a)
		case HandedOver:
			s.handedOver[i] = true
		}
	}
}

func (s *searchState) reply(request int, a Reply) {
	r := &s.requests[request]
	r.state = 'e'
	switch {
	case a.Granted:
		r.state = 'g'
	case a.Err != nil && a.Err.Verdict == verdict.NotRun, r.refuse && a.Err == nil:
		s.notRun(request)
	}
}

func (s *searchState) notRun(request int) {
	if s.started {
		s.failure = fmt.Sprintf("request %d: not_run after a start", request)
	}
	s.refusedAt = s.step
}

// steps returns the steps that are possible now.
func (s *searchState) steps() []searchStep {
	var out []searchStep
	for i := range s.messages {
		out = append(out, searchStep{stepDeliver, i})
		if s.repeats < s.c.repeats {
			out = append(out, searchStep{stepRepeat, i})
		}
	}
	for i, r := range s.requests {
		switch {
		case s.killed && r.at == s.c.killed:
		case r.state == 'g':
			out = append(out, searchStep{stepStart, i}, searchStep{stepGiveUp, i})
		case r.state == 'r':
			out = append(out, searchStep{stepFinish, i})
		}
	}
	if s.submits < len(s.c.submits) {
		out = append(out, searchStep{stepSubmit, s.c.submits[s.submits]})
	}
	if s.refuses < len(s.c.refuses) {
		out = append(out, searchStep{stepRefuse, s.c.refuses[s.refuses]})
	}
	if s.ticks < s.c.ticks {
		out = append(out, searchStep{stepTick, 0})
	}
	if !s.c.kills {
		return out
	}
	if !s.killed {
		return append(out, searchStep{stepKill, 0})
	}
	// A view without a lost member comes into force after membership.Config.DeadMemberWait
	// at the earliest, which is longer than a refusal mark lasts.
	cfg := searchConfig()
	allHandedOver := s.now.Sub(s.killedAt) > cfg.RefusalMarkTTL()
	for i := range s.ledgers {
		if i != s.c.killed {
			allHandedOver = allHandedOver && s.learned[i] && s.handedOver[i]
		}
	}
	for i := range s.ledgers {
		switch {
		case i == s.c.killed:
		case !s.learned[i]:
			out = append(out, searchStep{stepLearn, i})
		case allHandedOver && !s.inForce[i]:
			out = append(out, searchStep{stepInForce, i})
		}
	}
	return out
}

// apply takes a step.
func (s *searchState) apply(t searchStep) {
	s.step++
	switch t.kind {
	case stepTick:
		s.ticks++
		s.now = s.now.Add(searchUnit)
		for i := range s.ledgers {
			if !s.killed || i != s.c.killed {
				s.do(i, Tick{})
			}
		}
	case stepSubmit, stepRefuse:
		s.requests = append(s.requests, searchRequest{at: t.arg, received: s.step, refuse: t.kind == stepRefuse, state: 'w'})
		id := uint64(len(s.requests))
		switch {
		case s.killed && t.arg == s.c.killed:
			s.requests[id-1].state = 'e'
		case t.kind == stepRefuse:
			s.do(t.arg, Refuse{CallID: id, Key: s.key})
		default:
			s.do(t.arg, Acquire{CallID: id, Key: s.key, Digest: 1})
		}
		if t.kind == stepRefuse {
			s.refuses++
		} else {
			s.submits++
		}
	case stepDeliver, stepRepeat:
		m := s.messages[t.arg]
		if t.kind == stepRepeat {
			s.repeats++
		} else {
			s.messages = slices.Delete(s.messages, t.arg, t.arg+1)
		}
		s.do(m.to, Received{From: s.members[m.from], Message: m.message})
	case stepStart:
		s.start(t.arg)
	case stepGiveUp:
		s.requests[t.arg].state = 'e'
		s.notRun(t.arg)
		s.do(s.requests[t.arg].at, Finish{Key: s.key, Outcome: structs.Outcome{Verdict: verdict.NotRun, Reason: verdict.DeadlinePassed}})
	case stepFinish:
		s.requests[t.arg].state = 'e'
		s.do(s.requests[t.arg].at, Finish{Key: s.key, Outcome: completed()})
	case stepKill:
		s.killed, s.killedAt = true, s.now
		s.messages = slices.DeleteFunc(s.messages, func(m searchMessage) bool { return m.to == s.c.killed })
	case stepLearn:
		s.learned[t.arg] = true
		rest := slices.Delete(slices.Clone(s.members), s.c.killed, s.c.killed+1)
		s.do(t.arg, ViewLearned{View: structs.View{Version: 2, Members: rest, Removed: []structs.Removal{{Member: s.members[s.c.killed]}}}})
	case stepInForce:
		s.inForce[t.arg] = true
		s.do(t.arg, ViewInForce{Version: 2})
	}
}

// start starts the work of a request if its entry may.
func (s *searchState) start(request int) {
	r := &s.requests[request]
	if _, err := s.ledgers[r.at].MayStart(s.now, s.now.Add(time.Hour), s.key); err != nil {
		r.state = 'e'
		if err.Verdict == verdict.NotRun {
			s.notRun(request)
		}
		return
	}
	switch {
	case s.started:
		s.failure = fmt.Sprintf("request %d: started twice", request)
	case r.received < s.refusedAt:
		s.failure = fmt.Sprintf("request %d: not_run at step %d, then started", request, s.refusedAt)
	}
	s.started, r.state = true, 'r'
}

// fingerprint identifies the state, as far as it affects later steps.
func (s *searchState) fingerprint() uint64 {
	texts := make([]string, len(s.messages))
	for i, m := range s.messages {
		texts[i] = m.text
	}
	slices.Sort(texts)
	var b strings.Builder
	fmt.Fprint(&b, texts, s.ticks, s.submits, s.refuses, s.repeats, s.killed, s.killedAt, s.started, s.learned, s.handedOver, s.inForce)
	for _, r := range s.requests {
		fmt.Fprint(&b, "|", r.at, r.refuse, r.state, r.received < s.refusedAt)
	}
	for _, l := range s.ledgers {
		l.describe(&b, s.key.ID)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(b.String())) // never fails
	return h.Sum64()
}

// describe writes the ledger's state for a key.
func (l *Ledger) describe(b *strings.Builder, id ID) {
	fmt.Fprint(b, "\n", l.inForce, len(l.views), l.lastSerial, l.followers[id])
	if c := l.claims[id]; c != nil {
		fmt.Fprint(b, " claim", c.holder.Name, c.attempt, c.open(), c.rank, c.acked, c.handoverVersion)
		if !c.open() {
			fmt.Fprint(b, c.outcome.Verdict, c.outcome.Reason)
		}
		for _, w := range c.waiters {
			fmt.Fprint(b, " ", w.member.Name, w.attempt)
		}
	}
	if m := l.marks[id]; m != nil {
		fmt.Fprint(b, " mark", m.holder.Name, m.attempt, m.until, m.since, m.outcome.Reason, m.acked)
	}
	if p := l.pending[id]; p != nil {
		fmt.Fprint(b, " pending", p.attempt, p.arrivedAt, p.callIDs, p.stage, p.claimSent, p.claim != nil)
	}
	for serial := range l.lastSerial + 1 {
		if p := l.probes[serial]; p != nil {
			fmt.Fprint(b, " probe", serial, p.callID, p.mark, p.startedAt, p.refusal != nil)
		}
	}
	for _, q := range l.timers.queues {
		fmt.Fprint(b, " ", q.delay)
		for _, t := range q.items.items[q.items.head:] {
			fmt.Fprint(b, " ", t.at, t.kind, t.serial)
		}
	}
	for _, t := range l.transfers {
		fmt.Fprint(b, " transfer", t.to.Name, t.serial, len(t.ids), t.inFlight)
	}
}
