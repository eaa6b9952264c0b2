// Frames that daemons exchange on peer links. Every frame on a link is one Frame,
// preceded by its length as four bytes in network order.

namespace py corianderhold.protocol.peer.gen.peer

// Opens a link. Each side proves with a digest that it knows the fleet secret.
struct Hello {
  1: required string instance
  2: required i64 incarnation
  3: required binary nonce
  4: required binary proof
  5: required i64 clock_us
}

// Asks for a Pong; `clock_us` is the sender's monotonic clock in microseconds.
struct Ping {
  1: required i64 clock_us
}

struct Pong {
  1: required i64 clock_us
  2: required i64 incarnation
  3: optional LoadReport load
}

// Load of an owner for one target, carried by every answer.
struct LoadReport {
  1: required i32 in_flight
  2: required i32 limit
  3: required i32 queued
  4: required i32 shed_below   // importance below which the owner sheds now
  5: required bool draining
  6: optional i32 cold_wait_ms // until a cold target takes one more call
}

struct Header {
  1: required string name
  2: required string value
}

// Opens a call; its two times are on the owner's monotonic clock. `body` is the whole body, or its first part when `body_follows` is
// set; the rest then comes in Chunk frames once the owner has sent a Continue.
struct CallHead {
  1: required string call_id
  2: required string root_id
  3: required i64 incarnation          // of the owner that the frame is meant for
  4: required i64 accept_by_us         // the owner reads it by then, or refuses
  5: required i64 deadline_us          // of the whole answer
  6: required string organisation
  7: required i32 importance
  8: required i32 retry_budget         // retries that this call and its callees may use
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
  19: optional i64 body_length       // bytes; absent when it is not known
}

// Says that a call was admitted and that the rest of its body may come.
struct Continue {
  1: required string call_id
}

// Says that a call is still being worked on, so that its link does not look silent.
struct Progress {
  1: required string call_id
}

struct Chunk {
  1: required string call_id
  2: required binary data
  3: required bool end
}

// Opens an answer. `body` is the whole body when `complete` is set; Chunk frames and
// an AnswerEnd follow otherwise.
struct AnswerHead {
  1: required string call_id
  2: required i32 status
  3: required list<Header> headers
  4: required LoadReport load
  5: required binary body
  6: required bool complete
  7: required i32 retry_budget_left
}

// Closes an answer: the part of the retry budget that was not used comes back.
struct AnswerEnd {
  1: required string call_id
  2: required i32 retry_budget_left
}

// Ends a call without a whole answer.
struct Refusal {
  1: required string call_id
  2: required string run_state         // "not_run" or "may_have_run"
  3: required string reason
  4: required i32 retry_after_ms
  5: required LoadReport load
  6: required i32 retry_budget_left
  7: required string detail
}

// Cancels a call that was sent on another link.
struct Cancel {
  1: required string call_id
}

// Asks something of a daemon's coordination parts; `topic` selects the handler.
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
