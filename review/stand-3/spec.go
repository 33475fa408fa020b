package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
	"unicode/utf16"
	"unicode/utf8"
)

// units returns the UTF-16 code units that a JSON string denotes. Unlike package
// encoding/json it keeps surrogates that are not paired. It returns nil if the text is not
// a string.
func units(text []byte) []uint16 {
	if len(text) < 2 || text[0] != '"' {
		return nil
	}
	var list []uint16
	for text = text[1 : len(text)-1]; len(text) > 0; {
		if text[0] != '\\' {
			r, n := utf8.DecodeRune(text)
			list = utf16.AppendRune(list, r)
			text = text[n:]
			continue
		}
		if text[1] == 'u' {
			n, err := strconv.ParseUint(string(text[2:6]), 16, 16)
			if err != nil {
				return nil
			}
			list = append(list, uint16(n))
			text = text[6:]
			continue
		}
		c, ok := map[byte]uint16{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}[text[1]]
		if !ok {
			return nil
		}
		list = append(list, c)
		text = text[2:]
	}
	return list
}

// checkSpec notes a start with another spec than the client sent. The caller holds o.mu.
func (o *observer) checkSpec(w *worker, s startOrder) {
	sent, ok := o.sent[jobOf(s.Task)]
	if ok && !slices.Equal(units([]byte(sent)), units(s.Spec)) {
		o.otherSpec = append(o.otherSpec, fmt.Sprintf("UNASKED: %s run %d on %s: the spec is %+q, its client sent %s", s.Task, s.Run, w.id, s.Spec, sent))
	}
}

// playCutText sends jobs whose spec is a text that was cut between the two halves of a
// character, as JSON allows it; without the trouble, between two characters.
func playCutText(s *site, trouble bool) ([]string, error) {
	s.configure(3, true)
	if err := s.addWorkers(8, 16000, []string{"a", "r1"}, "worcester"); err != nil {
		return nil, err
	}
	if err := s.addNodes("worcester", "worcester"); err != nil {
		return nil, err
	}
	end := `\ud83d\ude00`
	if trouble {
		end = `\ud83d`
	}
	var wg sync.WaitGroup
	for i := range 20 {
		id := jobID()
		spec := `"60 1000 - receipt \"` + strconv.Itoa(i) + `\" <Łódź> ` + end + `"`
		s.observer.mu.Lock()
		s.observer.sent[id] = spec
		s.observer.mu.Unlock()
		wg.Go(func() {
			ctx, leave := context.WithTimeout(context.Background(), 4*time.Second)
			defer leave()
			body := fmt.Sprintf(`{"spec":%s,"steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":60}],"bestEffort":true}`, spec)
			s.nodes[i%len(s.nodes)].sendText(ctx, "POST", id, body, 4*time.Second)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	return s.observer.otherSpec, nil
}
