package lab

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/platform/directory"
	"github.com/beryltide/beryltide/internal/platform/logclient"
	"github.com/beryltide/beryltide/internal/record"
)

// Adopt appends records that adopt the directory's instances into the pools,
// round-robin. It is meant for a platform on which no daemon has started yet.
func Adopt(ctx context.Context, platformAddr string, pools []string) error {
	list, err := directory.New("http://"+platformAddr, http.DefaultTransport).List(ctx)
	if err != nil {
		return err
	}
	records := []record.Body{record.Join{Instance: "tools"}}
	for i, inst := range list {
		records = append(records, record.Adopt{
			Instance:   inst.Instance,
			Addr:       inst.Addr,
			DataCentre: inst.DataCentre,
			Rack:       inst.Rack,
			Pool:       pools[i%len(pools)],
			Slots:      inst.Slots,
		})
	}
	records = append(records, record.Leave{})
	log := logclient.New("http://"+platformAddr, http.DefaultTransport)
	author := record.MemberID("tools/" + uuid.NewString())
	for i, body := range records {
		data, err := record.Encode(record.Envelope{ID: uuid.NewString(), Author: author, Seq: uint64(i + 1), Body: body})
		if err != nil {
			return err
		}
		if err := log.Append(ctx, platform.StreamControl, data); err != nil {
			return errors.Wrap(err, "adopt")
		}
	}
	return nil
}
