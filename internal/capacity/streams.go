package capacity

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/peerauth"
)

// echo answers each batch of requests with as many replies.
type echo struct{}

func (echo) Exchange(stream pb.DRPCPeer_ExchangeStream) error {
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(replies(len(in.Frames))); err != nil {
			return err
		}
	}
}

// streams measures a request and its reply over one TLS stream on loopback, both
// ends in this process.
func (r *Report) streams() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	auth, err := peerauth.New("vm-1", []*pb.PeerKey{{Id: "k1", Secret: "a-secret-to-measure-streams-with"}})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, echo{}); err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return drpcserver.New(mux).Serve(ctx, auth.Listen(ln)) })
	conn, err := auth.Dial(ctx, ln.Addr().String())
	if err == nil {
		err = r.exchange(ctx, conn)
	}
	cancel()
	_ = group.Wait()
	return trace.Wrap(err)
}

func (r *Report) exchange(ctx context.Context, raw net.Conn) error {
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	stream, err := pb.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	for _, n := range batchSizes {
		batch := requests(n)
		rounds := 0
		before := processTime()
		c := measure(func() {
			rounds++
			if err = stream.Send(batch); err == nil {
				_, err = stream.Recv()
			}
		})
		if err != nil {
			return err
		}
		spent := processTime() - before
		size := fmt.Sprintf("%d frames a batch", n)
		r.add("peer stream", "request and reply over TLS: time of a batch", size, float64(c.time.Microseconds()), "us")
		r.add("peer stream", "request and reply over TLS: processor time, both ends", size, float64(spent.Nanoseconds())/float64(rounds*n), "ns/sub-request")
	}
	return nil
}

func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
