// Frames on the peer links between daemons. Each frame on a link is one Frame struct,
// prefixed with its length as four bytes in network byte order.

namespace py corianderhold.protocol.peer.gen.peer

// Opens a link. Each side proves knowledge of the fleet secret with a digest.
struct Hello {
  1: required string instance
  2: required i64 incarnation
  3: required binary nonce
  4: required binary proof
  5: required i64 clock_us
}

// Requests a Pong; `clock_us` is the monotonic clock of the sender in microseconds.
struct Ping {
  1: required i64 clock_us
}

struct Pong {
  1: required i64 clock_us
  2: required i64 incarnation
  3: optional LoadReport load
}

// What a target said of itself in its responses. `target` identifies its start, and is
// empty if that is unknown.
struct TargetNotice {
  1: required string target
  2: optional double rate_limit // calls per second, from all daemons together
  3: optional bool leaving
}

// Load of an owner for its target, sent with every response.
struct LoadReport {
  1: required i32 in_flight
  2: required i32 limit
  3: required i32 queued
  4: required i32 shed_below   // the owner currently sheds calls of lower importance
  5: required bool draining
  6: optional i32 cold_wait_ms // until a limited target accepts one more call
  7: optional TargetNotice notice // absent if the target said nothing
}

struct Header {
  1: required string name
  2: required string value
}

// Starts a call; its two times are on the monotonic clock of the owner. `body` is the
// whole body, or its first part if `body_follows` is set; the rest then follows in
// Chunk frames once the owner has sent a Continue.
struct CallHead {
  1: required string call_id
  2: required string root_id
  3: required i64 incarnation          // of the owner that the frame is addressed to
  4: required i64 accept_by_us         // the owner refuses a frame that it reads later
  5: required i64 deadline_us          // of the complete response
  6: required string organisation
  7: required i32 importance
  8: required i32 retry_budget         // retries left for this call and its callees
  9: required i32 depth
  10: required string service_name
  11: required string method
  12: required string path
  13: required list<Header> headers
  14: required bool idempotent
  15: optional string idempotency_key
  16: required string route
  17: required binary body
  18: required bool body_follows
  19: optional i64 body_length       // in bytes; absent if unknown
  20: optional TargetNotice notice   // as the entry last received it from this owner
  21: optional bool in_trial         // an equal call was in flight at a target's crash
}

// Signals that a call was admitted and requests the rest of its body.
struct Continue {
  1: required string call_id
}

// Signals that a call is still in progress, so that its link is not taken for silent.
struct Progress {
  1: required string call_id
}

struct Chunk {
  1: required string call_id
  2: required binary data
  3: required bool end
}

// Starts a response. `body` is the whole body if `complete` is set; otherwise Chunk
// frames and an AnswerEnd follow.
struct AnswerHead {
  1: required string call_id
  2: required i32 status
  3: required list<Header> headers
  4: required LoadReport load
  5: required binary body
  6: required bool complete
  7: required i32 retry_budget_left
}

// Ends a response and returns the unused part of the retry budget.
struct AnswerEnd {
  1: required string call_id
  2: required i32 retry_budget_left
}

// Ends a call without a complete response.
struct Refusal {
  1: required string call_id
  2: required string run_state         // "not_run" or "may_have_run"
  3: required string reason
  4: required i32 retry_after_ms
  5: required LoadReport load
  6: required i32 retry_budget_left
  7: required string detail
  8: optional string cause             // a reason that `reason` replaces for older builds
}

// Cancels a call that was sent on another link.
struct Cancel {
  1: required string call_id
}

// A request to a coordination component of a daemon; `topic` selects the handler.
struct ControlRequest {
  1: required string topic
  2: required binary body
}

struct ControlReply {
  1: required bool accepted
  2: required binary body
}

union Frame {
  1: Hello hello
  2: Ping ping
  3: Pong pong
  4: CallHead call
  5: Chunk chunk
  6: AnswerHead answer
  7: AnswerEnd answer_end
  8: Refusal refusal
  9: Cancel cancel
  10: ControlRequest control_request
  11: ControlReply control_reply
  12: Continue proceed
  13: Progress progress
}
