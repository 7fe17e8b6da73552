// SPDX-License-Identifier: MIT

package node_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/standin"
)

// notAnswers are bytes of a server that are not an answer.
var notAnswers = map[string]string{
	"status 000":                 "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nab",
	"status 777":                 "HTTP/1.1 777 OK\r\nContent-Length: 2\r\n\r\nab",
	"version 2.0":                "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nab",
	"NUL in the reason":          "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nab",
	"unasked 101":                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nContent-Length: 2\r\n\r\nab",
	"blank in a name":            "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\nab",
	"blank in the length's name": "HTTP/1.1 200 OK\r\nContent Length: 2\r\nConnection: close\r\n\r\nabcd",
	"blank after a name":         "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
	"control byte in a name":     "HTTP/1.1 200 OK\r\nX\x01A: 1\r\nContent-Length: 2\r\n\r\nab",
	"blank in an interim name":   "HTTP/1.1 103 Early\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
	"blank in a trailer's name":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX A: 1\r\n\r\n",
	"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"length and chunks":          "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"length cut off":             "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
	"chunks cut off":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	"chunks without a last line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
	"negative chunk":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nab\r\n0\r\n\r\n",
	"text":                       "no answer\r\n\r\n",
}

// Bytes of a server that are no answer reach no caller as one. Status 000 arrived as 200, and names
// with blanks were passed on or hid the length of the body.
func TestBytesThatAreNoAnswerAreNotForwarded(t *testing.T) {
	names := slices.Sorted(maps.Keys(notAnswers))
	s := startSite(t, 1, nil, standin.Behaviour{Slots: 4})
	server := s.Servers[0]
	address := startRawServer(t, func(path string, c net.Conn) {
		var n int
		fmt.Sscanf(path, "/%d", &n)
		io.WriteString(c, notAnswers[names[n]])
		c.Close()
	})
	apply(t, s, strings.ReplaceAll(s.Table(), server.Address, address))
	for n, name := range names {
		request := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: archive\r\nContent-Length: 0\r\n\r\n", n)
		if got := exchange(t, server.Node.CallerAddress(), request); !strings.HasPrefix(got, "502 ") {
			t.Errorf("%s: the caller got %q", name, got)
		}
	}
}

// Servers that send bytes without end to many requests at once are given up, and the node's memory
// stays bounded.
func TestEndlessAnswersOfManyRequestsAreBounded(t *testing.T) {
	endless := []string{"HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n", "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"}
	const requests = 16
	s := startSite(t, 1, nil, standin.Behaviour{Slots: requests})
	server := s.Servers[0]
	address := startRawServer(t, func(path string, c net.Conn) {
		var n int
		fmt.Sscanf(path, "/%d", &n)
		io.WriteString(c, endless[n%len(endless)])
		block := strings.Repeat("x", 64<<10)
		for {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	})
	apply(t, s, strings.ReplaceAll(s.Table(), server.Address, address))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	var wait sync.WaitGroup
	for n := range requests {
		wait.Go(func() {
			request := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: archive\r\nRyehaven-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", n)
			if got := exchange(t, server.Node.CallerAddress(), request); strings.HasPrefix(got, "2") {
				t.Errorf("the caller got %.40q", got)
			}
		})
	}
	wait.Wait()
	runtime.ReadMemStats(&after)
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the requests ended after %v", took)
	}
	const maxHeap = 64 << 20 // What a node may spend, docs/CAPACITY.md.
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxHeap {
		t.Errorf("the heap grew by %d bytes", grown)
	}
}
