// Bodies of control requests of the topic "configuration": daemons compare how far
// they have folded the configuration stream and send each other what is missing.

namespace py corianderhold.protocol.configuration.gen.configuration

// How far a daemon has folded the stream.
struct Head {
  1: required i64 next_offset
  2: required i64 version
  3: required binary digest            // first bytes of the state's digest
}

// A record without text is a snapshot that changes nothing.
struct Record {
  1: required i64 offset
  2: required string data
}

// Asks for part of a snapshot; `folded_to` is -2 for the newest.
struct SnapshotQuery {
  1: required i64 folded_to
  2: required i32 from_byte
}

// Part of the compressed text of a snapshot.
struct SnapshotPart {
  1: required i64 folded_to
  2: required i32 from_byte
  3: required i32 total_bytes
  4: required binary data
}

// The best snapshot known to be in the log, and how long it has been there.
struct SnapshotMark {
  1: required i64 folded_to
  2: required i32 age_s
}

struct Exchange {
  1: required Head head
  2: optional list<Record> records     // without a gap
  3: optional SnapshotQuery snapshot
}

struct ExchangeReply {
  1: required Head head
  2: optional i64 verified_age_ms      // absent when the view was never verified
  3: optional list<Record> records     // without a gap, from the asker's head on
  4: optional SnapshotPart part
  5: optional SnapshotMark mark
  6: optional bool snapshot_needed     // the records missing are no longer kept
}
