package command

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/standin"
	"github.com/lovagecrank/lovagecrank/task"
)

// addrFlag declares a flag for an IP address and a port.
func addrFlag(fs *flag.FlagSet, name, value, usage string) *netip.AddrPort {
	addr := netip.MustParseAddrPort(value)
	fs.TextVar(&addr, name, addr, usage)
	return &addr
}

// untilSignal returns a context that is canceled by SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}

// listen opens a TCP listener and prints its address.
func listen(s streams, name string, addr netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("cannot listen on %s; choose another address with -listen: %w", addr, err)
	}
	fmt.Fprintf(s.out, "%s is listening on %s; interrupt to stop\n", name, l.Addr())
	return l, nil
}

func standinPlatformFlags(fs *flag.FlagSet) action {
	addr := addrFlag(fs, "listen", "127.0.0.1:7000", "listen on `ADDRESS`, an IP address and a port")
	var o standin.PlatformOptions
	fs.IntVar(&o.WritesPerSecond, "writes-per-second", 0, "refuse writes above `N` per second; 0 means no limit")
	fs.IntVar(&o.ReadsPerSecond, "reads-per-second", 0, "refuse reads above `N` per second; 0 means no limit")
	fs.DurationVar(&o.ListLag, "list-lag", 0, "delay changes of the instance and endpoint lists by `DURATION`")
	return func(ctx context.Context, s streams, _ []string) error {
		ctx, cancel := untilSignal(ctx)
		defer cancel()
		l, err := listen(s, "platform stand-in", *addr)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, l, standin.NewPlatform(o))
	}
}

func standinEndpointFlags(fs *flag.FlagSet) action {
	addr := addrFlag(fs, "listen", "127.0.0.1:8000", "listen on `ADDRESS`, an IP address and a port")
	platform := addrFlag(fs, "platform", "127.0.0.1:7000", "register the endpoint with the platform at `ADDRESS`")
	info := endpoint.Info{Connections: 64, Size: task.Needs{}}
	fs.StringVar(&info.ID, "id", "endpoint-1", "register the endpoint as `ID`")
	fs.StringVar(&info.DataCentre, "data-centre", "local", "register the endpoint in the data centre `NAME`")
	fs.StringVar(&info.Rack, "rack", "rack-1", "register the endpoint in the rack `NAME`")
	fs.IntVar(&info.Slots, "slots", 8, "run at most `N` tasks at once")
	fs.Float64Var(&info.Size.Cores, "cores", 16, "offer `N` cores")
	fs.Int64Var(&info.Size.MemoryBytes, "memory-bytes", 64<<30, "offer `N` bytes of memory")
	fs.IntVar(&info.Size.Accelerators, "accelerators", 0, "offer `N` accelerators")
	return func(ctx context.Context, s streams, _ []string) error {
		if info.Slots < 1 {
			return &usageError{message: "-slots must be at least 1"}
		}
		ctx, cancel := untilSignal(ctx)
		defer cancel()
		l, err := listen(s, "endpoint stand-in "+info.ID, *addr)
		if err != nil {
			return err
		}
		return standin.ServeEndpoint(ctx, l, info, *platform)
	}
}
