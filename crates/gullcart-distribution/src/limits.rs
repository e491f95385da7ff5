//! Sizes, rates and spans, each with its reason.

use std::time::Duration;

/// How long a lease lasts from the moment the renewal was sent. Below the three seconds within which a change must be in
/// force, with half a second left to the writer's side and to the judging.
pub const LEASE: Duration = Duration::from_millis(2_500);

/// Clocks of two machines drift apart by at most one part in this many. Quartz drifts by some 100 parts in a million and
/// a clock being slewed by 500; this allows 1,000.
pub const CLOCK_DRIFT_DIVISOR: u32 = 1_000;

/// How often a relay renews its lease. There are few relays, and what has passed of their leases is taken from those of
/// all below.
pub const RELAY_RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// How often a subscriber at the edge renews its lease. With two tiers of relays a new lease is at worst 0.4 s and three
/// round trips old, and at most 0.5 s pass to the next one: one lost answer of every kind still leaves time.
pub const SUBSCRIBER_RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// An answer that takes longer than this is not waited for, and the session is begun anew. Shorter than the lease, so that
/// another connection can save it.
pub const RENEW_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Repairs and digests that were asked for are asked for again when nothing of them has come for so long.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A relay that neither renews the lease nor sends parts of a state for so long is given up, for another one may be current. Longer
/// than the lease, so that a short break of the links above does not move a whole zone.
pub const STALE_TIMEOUT: Duration = Duration::from_secs(4);

/// Frames to one subscriber are at least this far apart; changes in between go together. A burst costs a subscriber at most
/// twenty frames a second, and a change waits at most this long at each tier.
pub const FRAME_INTERVAL: Duration = Duration::from_millis(50);

/// Longest key: a fully qualified setting with a destination's name.
pub const MAX_KEY_BYTES: usize = 256;

/// Longest value: a list of endpoints with their settings; longer ones belong into several keys.
pub const MAX_VALUE_BYTES: usize = 8 * 1024;

/// Longest encoded message. It holds a full frame, or the names of [`MAX_SCOPES`].
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// A frame is closed before its changes exceed this, unless it is a single one. A link that takes less than a frame within
/// [`RENEW_TIMEOUT`], 2.7 KB a second, can't be told from a broken one; smaller frames would cost more in headers.
pub const FRAME_BYTES: usize = 4 * 1024;

/// Bytes on the way to a subscriber and not acknowledged; more waits at the relay, by cursor. It is enough for 600 KB a second
/// at a round trip of 100 ms.
pub const WINDOW_BYTES: usize = 64 * 1024;

/// Frames on the way to a subscriber and not acknowledged. Repairs of scopes that are empty or small go by frames, not bytes: a
/// relay that takes over 2,000 scopes needs eight round trips.
pub const WINDOW_FRAMES: usize = 256;

/// Scopes in one subscription, and over all subscribers of a relay. A region of three zones, each with 180 shares of the
/// destinations and 480 couriers, has 2,000; twice that after taking over another region.
pub const MAX_SCOPES: usize = 8_192;

/// Scopes that are wanted of a source: those of 11,000 couriers and 4,100 shares of the destinations, and room for four times as
/// many.
pub const MAX_SOURCE_SCOPES: usize = 1 << 16;

/// Digests of scopes in one message, so that it stays well below [`MAX_MESSAGE_BYTES`].
pub const DIGESTS_PER_MESSAGE: usize = 1_024;

/// Entries that a node holds over all its scopes. A region's share of two percent of 1.6 million destinations is 3,000; the
/// settings of its couriers come on top.
pub const MAX_ENTRIES: usize = 1 << 18;

/// Removed keys that a node remembers to let subscribers resume: half an hour at 36 changes a second.
pub const MAX_TOMBSTONES: usize = 1 << 16;

/// Epochs whose beginning is remembered. Writers change seldom.
pub const MAX_LINEAGE: usize = 8;

/// Buckets of a scope: the unit of repair. With 16 a spoilt entry costs a sixteenth of its scope.
pub const BUCKETS: usize = 16;

/// Messages that wait for the driver of a state machine, per peer: a full window of frames and as many answers. A driver takes
/// them after each call; more than this means that it does not.
pub const MAX_OUTPUT_MESSAGES: usize = 2 * WINDOW_FRAMES;

/// Subscribers of one relay: a zone has 480, and takes those of another one in.
pub const MAX_PEERS: usize = 2_048;

/// Snapshots that a relay begins in a second. 480 subscribers are served in 5 s; at 25 KB each it is 2.5 MB a second.
pub const SNAPSHOTS_PER_SECOND: u32 = 100;

/// Snapshots that a relay begins at once after a quiet time.
pub const SNAPSHOT_BURST: u32 = 20;

/// Snapshots under way at a relay at one time. Bounds what waits in the windows of new subscribers.
pub const MAX_SNAPSHOTS_UNDER_WAY: usize = 64;

/// Shortest wait before a subscriber connects again.
pub const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// Longest wait before a subscriber connects again. Also bounds what a relay may ask for.
pub const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// How long a relay keeps a scope that no subscriber wants: longer than any lease on it, and long enough for a subscriber
/// that restarts.
pub const SCOPE_LINGER: Duration = Duration::from_secs(30);

/// Scopes are given up together at multiples of this. A renewal that is under way meanwhile brings no lease, so that this must
/// be rare; singly, those of a zone that came back kept its relay without a lease for seconds.
pub const SCOPE_RELEASE_INTERVAL: Duration = Duration::from_secs(5);

/// Leases that run out within the same span of this length are not told apart. A lease of 2.5 s has 26 of them, so that as many
/// are kept at most; a change may be found in force later by this much.
pub const GRANT_SLOT: Duration = Duration::from_millis(100);

/// Frames to one subscriber whose changes are told apart while they are not in force: those of 2.5 s at twenty a second.
pub const MAX_UNSETTLED_FRAMES: usize = 64;

/// Renewals of one session that wait for an answer. One a fifth of a second within [`RENEW_TIMEOUT`].
pub const MAX_RENEWALS_WAITING: usize = 16;

/// Changes of a source that are not in force yet: 2.5 s at 20,000 a second.
pub const MAX_PENDING_CHANGES: usize = 1 << 16;

/// How long a relay gathers scopes that its subscribers want before it asks for them.
pub const RESCOPE_DELAY: Duration = Duration::from_millis(50);

/// How long a subscriber waits whose relay is not ready: a round trip upstream and the gathering of scopes.
pub const NOT_READY_RETRY: Duration = Duration::from_millis(200);
