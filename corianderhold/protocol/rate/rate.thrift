// Control requests of topic "rate": a borrower asks a steward for loans of rate.

namespace py corianderhold.protocol.rate.gen.rate

// Asks for one organisation. `applied` is the number of the grant in use, 0 for none;
// `capacity` is what is left of its capacity after `returned` tokens were taken out.
struct LoanAsk {
  1: required string organisation
  2: required i64 applied
  3: required double capacity
  4: required double returned
  5: required double demand     // requests a second
  6: required double wanted     // tokens
  7: required bool single       // one token for one call, used at once or not at all
}

struct LoanRequest {
  1: required string borrower
  2: required i64 incarnation
  3: required i64 number        // grows with every request of this incarnation
  4: required string domain
  5: required bool steward      // the borrower is the steward of another domain
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
  1: required bool accepted     // false: not the steward, or not yet
  2: required list<LoanGrant> grants
  3: required string holder     // instance believed to be the steward, or empty
}
