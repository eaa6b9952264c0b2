// Bodies of control requests of the topic "configuration": daemons compare how far they
// have folded the configuration stream and send each other the missing records.

namespace py corianderhold.protocol.configuration.gen.configuration

// How far a daemon has folded the stream.
struct Head {
  1: required i64 next_offset
  2: required i64 version
  3: required binary digest            // first bytes of the digest of the state
  4: optional i64 era                  // of the store; omitted in its first one
}

// A record of the stream; empty data stands for a snapshot that changes nothing.
struct Record {
  1: required i64 offset
  2: required string data
}

// Requests a part of a snapshot; `folded_to` is -2 for the newest snapshot.
struct SnapshotQuery {
  1: required i64 folded_to
  2: required i32 from_byte
}

// A part of the compressed snapshot.
struct SnapshotPart {
  1: required i64 folded_to
  2: required i32 from_byte
  3: required i32 total_bytes
  4: required binary data
  5: optional i64 era                  // of the store; omitted in its first one
}

// The best snapshot known to be in the log, and its age in the log in seconds.
struct SnapshotMark {
  1: required i64 folded_to
  2: required i32 age_s
}

struct Exchange {
  1: required Head head
  2: optional list<Record> records     // contiguous
  3: optional SnapshotQuery snapshot
}

struct ExchangeReply {
  1: required Head head
  2: optional i64 verified_age_ms      // absent if the view was never verified
  3: optional list<Record> records     // contiguous, from the requester's head on
  4: optional SnapshotPart part
  5: optional SnapshotMark mark
  6: optional bool snapshot_needed     // the missing records are no longer retained
}
