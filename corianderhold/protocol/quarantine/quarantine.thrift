// What daemons tell each other of calls that were in flight when a target crashed. All
// ages are in milliseconds before the message was sent.

namespace py corianderhold.protocol.quarantine.gen.quarantine

// A target crashed. `suspects` are the fingerprints of the calls that may have caused it.
struct Crash {
  1: required binary id
  2: required string service_name
  3: required i64 age_ms
  4: required list<binary> suspects
  5: required bool in_trial // the only suspect ran, known as such
}

// A call with this fingerprint got a response after the crashes, or was released.
struct Clearance {
  1: required binary fingerprint
  2: required i64 age_ms
}

// Calls with this fingerprint are refused for `left_ms` more milliseconds.
struct Quarantine {
  1: required binary fingerprint
  2: required string service_name
  3: required i64 age_ms
  4: required i64 left_ms
  5: required i32 count // of quarantines of this fingerprint so far
}

// `digest` identifies all that the sender knows. A reply is empty if it knows the same.
struct Notice {
  1: required binary digest
  2: required list<Crash> crashes
  3: required list<Clearance> clearances
  4: required list<Quarantine> quarantines
}
