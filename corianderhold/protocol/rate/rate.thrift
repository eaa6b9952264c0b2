// Control requests of the topic "rate": a borrower requests loans of rate from a steward.

namespace py corianderhold.protocol.rate.gen.rate

// Request for one organisation. `applied` is the number of the grant in use, 0 for none;
// `capacity` is its remaining capacity after the removal of `returned` tokens.
struct LoanAsk {
  1: required string organisation
  2: required i64 applied
  3: required double capacity
  4: required double returned
  5: required double demand     // requests per second
  6: required double wanted     // tokens
  7: required bool single       // one token for one call, used immediately or not at all
}

struct LoanRequest {
  1: required string borrower
  2: required i64 incarnation
  3: required i64 number        // increases with each request of this incarnation
  4: required string domain
  5: required bool steward      // the borrower is the steward of another failure domain
  6: required list<LoanAsk> asks
}

struct LoanGrant {
  1: required string organisation
  2: required i64 number
  3: required double rate
  4: required double capacity
  5: required double tokens
}

struct LoanReply {
  1: required bool accepted     // false if the daemon is not the steward, or not yet
  2: required list<LoanGrant> grants
  3: required string holder     // instance considered the steward, or empty
}
