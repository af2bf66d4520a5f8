package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playInPlace: a worker crashes in a quiet moment, when no lobby has a connection to it, and starts
// again in place with another software version. Streams that begin there before its new entry is
// read count as streams of the old version, and go on at another worker of that.
func playInPlace(s *scene) (bool, error) {
	lobbies := []int{11, 12, 13, 14}
	s.store.put("keyed.op", "config", configuration(1, []object{
		route("notice", "/notice/", "streaming", plainService, 25000, 6000, 2, object{"resumable": true, "gap_target_ms": 300}),
	}, []object{model("m0")}, 220000))
	var workers []*worker
	for i := range 4 {
		w := &worker{
			store: s.store, log: s.log, id: fmt.Sprintf("i-a%d", i), version: "v1", service: plainService, slots: 64,
			address: fmt.Sprintf("%s:%d", s.fleet.ip(100+i), appPort), handler: streamEvents(40, 200*time.Millisecond),
		}
		workers = append(workers, w)
		if err := w.start(); err != nil {
			return false, err
		}
	}
	var fronts []string
	for _, machine := range lobbies {
		fronts = append(fronts, s.fleet.front(machine))
		if err := s.fleet.start("lobby", machine); err != nil {
			return false, err
		}
	}
	if err := s.fleet.awaitReady(5*time.Second, lobbies...); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	first := workers[0]
	if s.trouble {
		first.crash()
		time.Sleep(time.Second)
		first.version, first.firstEntry = "v2", heartbeat/2
		if err := first.start(); err != nil {
			return false, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	var wait sync.WaitGroup
	readers := make([]*reader, 32)
	for i := range readers {
		readers[i] = &reader{number: i, lobbies: fronts, deadline: time.Now().Add(25 * time.Second)}
		wait.Add(1)
		go func() {
			defer wait.Done()
			readers[i].read(s)
		}()
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		first.crash()
	}
	wait.Wait()
	mixed := 0
	for _, c := range readers {
		if len(c.versions) > 1 {
			mixed++
			s.log.add("client %d got events of %s", c.number, strings.Join(c.versions, "+"))
		}
	}
	s.log.add("%d of %d streams hold events of two software versions; more than two break the rule", mixed, len(readers))
	return mixed > 2, nil
}
