// Control requests of the topic "lease": a holder asks its successors to promise not to
// take over its leases.

namespace py corianderhold.protocol.lease.gen.lease

struct PromiseAsk {
  1: required string shard
  2: required i64 term
}

struct PromiseRequest {
  1: required list<PromiseAsk> asks
}

struct PromiseReply {
  1: required list<string> promised   // shards of the promises
}
