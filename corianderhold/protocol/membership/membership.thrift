// Datagrams that daemons gossip, and the messages of a full synchronisation.
// A datagram on the wire is a version byte, a truncated HMAC and one Datagram in
// thrift's compact protocol.

namespace py corianderhold.protocol.membership.gen.membership

// One announcement. Hosts are packed IP addresses of 4 or 16 bytes.
struct MemberRecord {
  1: required string instance
  2: required i64 incarnation
  3: required i32 sequence
  4: required string domain
  5: required string region
  6: required binary peer_host
  7: required i32 peer_port
  8: optional binary gossip_host       // left out where it equals peer_host
  9: required i32 gossip_port
  10: optional string service_name
  11: required i8 target_state
  12: required i8 state
}

// A claim about an announcement that the receiver is expected to have.
struct MemberClaim {
  1: required string instance
  2: required i64 incarnation
  3: required i32 sequence
  4: required i8 state
}

// `updates` holds encoded MemberRecords and `claims` encoded MemberClaims, so that
// each is encoded once and its size is known when datagrams are filled.
struct Datagram {
  1: required i8 kind
  2: required i64 number
  3: required string sender
  4: optional string subject
  5: optional binary subject_host
  6: optional i32 subject_port
  7: required list<binary> updates
  8: required list<binary> claims
}

struct SyncRecord {
  1: required binary member            // an encoded MemberRecord
  2: required i32 dead_for_s           // how long ago the sender took it as dead
}

// Asks for the records in the buckets whose digests differ, in the order of their
// instances after `after`; `pushed` holds what the sender has newer.
struct SyncRequest {
  1: required list<i64> digests
  2: required string after
  3: required list<SyncRecord> pushed
}

// `last` closes the answer; otherwise the sender asks again after the last record.
struct SyncReply {
  1: required list<i16> buckets
  2: required list<SyncRecord> records
  3: required bool last
}
