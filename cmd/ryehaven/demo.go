// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/internal/site"
	"github.com/ryehaven/ryehaven/standin"
)

type demoCommand struct {
	For time.Duration `help:"Stop after this time; without it, stop at Ctrl-C."`
}

const (
	demoService  = "termostat"
	demoRequests = 6
)

// Run starts a site of three servers, sends a few requests and waits for the end.
func (c *demoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	s, err := site.Start(site.Config{
		Region: "cluj",
		Zones:  []string{"hala-a", "hala-b", "hala-c"},
		Services: []site.Service{{
			Name:    demoService,
			Servers: 3,
			Columns: map[string]string{"slots": "12", "objective_ms": "50"},
			Behaviour: func(int) standin.Behaviour {
				return standin.Behaviour{Slots: 12, ServiceMicros: 2000, Exponential: true}
			},
		}},
	})
	if err != nil {
		return err
	}
	defer s.Stop()
	printDemoSite(s)
	for i := range demoRequests {
		if err := sendDemoRequest(s.Servers[i%len(s.Servers)].Node.CallerAddress(), i); err != nil {
			return err
		}
	}
	fmt.Println("\nrunning; stop with Ctrl-C")
	<-ctx.Done()
	return nil
}

func printDemoSite(s *site.Site) {
	fmt.Printf("platform stand-in  %s\n", s.PlatformAddress)
	for _, server := range s.Servers {
		fmt.Printf("node %s  caller %s  admin %s  server %s at %s\n", server.Host,
			server.Node.CallerAddress(), server.Node.AdminAddress(), server.Standin.Name, server.Address)
	}
	first := s.Servers[0].Node
	fmt.Printf("\ntry:\n  curl -i -H 'Host: %s' http://%s/status\n", demoService, first.CallerAddress())
	fmt.Printf("  go run ./cmd/ryehaven status %s\n", first.AdminAddress())
	fmt.Printf("  go run ./cmd/ryehaven burn %s\n", first.AdminAddress())
	fmt.Printf("  go run ./cmd/ryehaven show --platform %s\n\n", s.PlatformAddress)
}

func sendDemoRequest(callerAddress string, i int) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(fmt.Sprintf("http://%s/boiler/%d", callerAddress, i+1))
	request.UseHostHeader = true
	request.Header.SetHost(demoService)
	request.Header.Set(standin.RequestNumberField, fmt.Sprint(i+1))
	if err := fasthttp.DoTimeout(request, response, time.Second); err != nil {
		return err
	}
	fmt.Printf("request %d through %s: %d %s", i+1, callerAddress, response.StatusCode(), response.Body())
	return nil
}
