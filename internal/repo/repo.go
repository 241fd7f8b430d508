// Package repo stores lagoontrail's objects in the platform's object store.
//
// # Usage
//
//	r := repo.New(store)
//	cfg, version, err := r.Config(ctx)
//	err = r.PutConfig(ctx, next, version)
//
// Only this package uses the keys of these objects and their encoding. If the reply to
// a conditional write is lost, the repository reads the object back to determine
// whether the write took effect.
package repo

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/wire"
)

// Keys of the objects.
const (
	configKey       = "lagoon/config"
	placementKey    = "lagoon/placement"
	bucketKeyFormat = "lagoon/claims/%03d"
)

// readBackInterval is the time between two attempts to read a written object back.
const readBackInterval = 100 * time.Millisecond

// Repo implements lagoon.Repository on a lagoon.Store.
type Repo struct {
	store lagoon.Store
	codec wire.Codec
}

// New returns a repository on a store.
func New(store lagoon.Store) *Repo { return &Repo{store: store} }

// Config reads the configuration and its object version.
func (r *Repo) Config(ctx context.Context) (lagoon.Config, uint64, error) {
	return get(ctx, r, configKey, r.codec.DecodeConfig)
}

// PutConfig writes the configuration if its object version is still ifVersion.
func (r *Repo) PutConfig(ctx context.Context, c lagoon.Config, ifVersion uint64) error {
	data, err := r.codec.EncodeConfig(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	_, err = r.put(ctx, configKey, data, ifVersion)
	return err
}

// WatchConfig waits for a configuration with an object version after the given one.
func (r *Repo) WatchConfig(ctx context.Context, after uint64) (lagoon.Config, uint64, error) {
	return watch(ctx, r, configKey, after, r.codec.DecodeConfig)
}

// Placement reads the placement and its object version.
func (r *Repo) Placement(ctx context.Context) (lagoon.Placement, uint64, error) {
	return get(ctx, r, placementKey, r.codec.DecodePlacement)
}

// PutPlacement writes the placement if its object version is still ifVersion.
func (r *Repo) PutPlacement(ctx context.Context, p lagoon.Placement, ifVersion uint64) error {
	data, err := r.codec.EncodePlacement(p)
	if err != nil {
		return errors.Wrap(err, "encode placement")
	}
	_, err = r.put(ctx, placementKey, data, ifVersion)
	return err
}

// WatchPlacement waits for a placement with an object version after the given one.
func (r *Repo) WatchPlacement(ctx context.Context, after uint64) (lagoon.Placement, uint64, error) {
	return watch(ctx, r, placementKey, after, r.codec.DecodePlacement)
}

// Bucket reads a claim bucket and its object version.
func (r *Repo) Bucket(ctx context.Context, number int) (lagoon.ClaimBucket, uint64, error) {
	return get(ctx, r, fmt.Sprintf(bucketKeyFormat, number), r.codec.DecodeBucket)
}

// PutBucket writes a claim bucket if its object version is still ifVersion, and
// returns the new version.
func (r *Repo) PutBucket(ctx context.Context, number int, b lagoon.ClaimBucket, ifVersion uint64) (uint64, error) {
	data, err := r.codec.EncodeBucket(b)
	if err != nil {
		return 0, errors.Wrap(err, "encode claim bucket")
	}
	return r.put(ctx, fmt.Sprintf(bucketKeyFormat, number), data, ifVersion)
}

// Instances reads the instance list.
func (r *Repo) Instances(ctx context.Context) ([]lagoon.Instance, error) {
	return r.store.Instances(ctx)
}

// put writes an object. If the reply is lost, it reads the object back until the
// outcome is certain or ctx is done.
func (r *Repo) put(ctx context.Context, key string, data []byte, ifVersion uint64) (uint64, error) {
	version, err := r.store.Put(ctx, key, data, ifVersion)
	if err == nil || !errors.Is(err, lagoon.ErrUnavailable) {
		return version, err
	}
	for {
		object, readErr := r.store.Get(ctx, key)
		switch {
		case readErr == nil && object.Version() == ifVersion+1 && bytes.Equal(object.Value(), data):
			return object.Version(), nil
		case readErr == nil && object.Version() > ifVersion:
			return 0, errors.Wrapf(lagoon.ErrConflict, "put %s after a lost reply", key)
		}
		// The read failed, or the object still has the old version. The write may
		// still be in flight and take effect later, so the outcome is not certain yet.
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(readBackInterval):
		}
	}
}

// get reads and decodes an object. It returns the zero value and version 0 if the
// object does not exist.
func get[V any](ctx context.Context, r *Repo, key string, decode func([]byte) (V, error)) (V, uint64, error) {
	var zero V
	object, err := r.store.Get(ctx, key)
	if errors.Is(err, lagoon.ErrNotFound) {
		return zero, 0, nil
	}
	if err != nil {
		return zero, 0, err
	}
	v, err := decode(object.Value())
	return v, object.Version(), err
}

// watch waits for an object with a version after the given one and decodes it.
func watch[V any](ctx context.Context, r *Repo, key string, after uint64, decode func([]byte) (V, error)) (V, uint64, error) {
	var zero V
	object, err := r.store.Watch(ctx, key, after)
	if err != nil {
		return zero, 0, err
	}
	v, err := decode(object.Value())
	return v, object.Version(), err
}
