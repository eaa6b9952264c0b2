// Gossip datagrams and the messages of a full synchronisation between daemons.
// On the wire, a datagram consists of a version byte, a truncated HMAC and a Datagram
// struct in the compact protocol of thrift.

namespace py corianderhold.protocol.membership.gen.membership

// An announcement. Hosts are packed IP addresses of 4 or 16 bytes.
struct MemberRecord {
  1: required string instance
  2: required i64 incarnation
  3: required i32 sequence
  4: required string domain
  5: required string region
  6: required binary peer_host
  7: required i32 peer_port
  8: optional binary gossip_host       // omitted if equal to peer_host
  9: required i32 gossip_port
  10: optional string service_name
  11: required i8 target_state
  12: required i8 state
}

// A state claimed of an announcement that the receiver is expected to have.
struct MemberClaim {
  1: required string instance
  2: required i64 incarnation
  3: required i32 sequence
  4: required i8 state
}

// `updates` holds encoded MemberRecords and `claims` encoded MemberClaims. Each is
// encoded only once, and its size is known when datagrams are filled.
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
  1: required binary member            // encoded MemberRecord
  2: required i32 dead_for_s           // time since the sender recorded it as dead
}

// Requests the records in all buckets whose digests differ, ordered by instance and
// starting after `after`; `pushed` holds records that are newer at the sender.
struct SyncRequest {
  1: required list<i64> digests
  2: required string after
  3: required list<SyncRecord> pushed
}

// `last` marks the final page; otherwise the next request starts after the last record.
struct SyncReply {
  1: required list<i16> buckets
  2: required list<SyncRecord> records
  3: required bool last
}

// A start of the sender's local target that drains or, if `withdrawn`, has left.
struct DepartureRecord {
  1: required string target_id
  2: optional i64 started
  3: required bool withdrawn
}

// Asks the receiver to keep `departures` for the sender, in addition to earlier ones.
struct DepartureRequest {
  1: required list<DepartureRecord> departures
}

// All departures that are kept for the sender of the request, and for how long the
// replying daemon has been running.
struct DepartureReply {
  1: required list<DepartureRecord> departures
  2: required i64 uptime_ms
}
