// A second replay of the log, written apart from the library's, as an oracle.
//
//   log_reference Reference;
//   Reference.onRecord(Offset, Record);
//   if (!Reference.hasValidIntent(OrderId))
//     Findings.push_back("an order without a valid intent");
//
// Of the records that follow the same claim of a lease, the first in the log
// counts. Intents and closes count only under the claim that is current at
// their offset. It keeps no more than these decisions.

#ifndef MONSOONREEL_FAULT_MATRIX_LOG_REFERENCE_H
#define MONSOONREEL_FAULT_MATRIX_LOG_REFERENCE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel::fault_matrix {

class log_reference {
public:
  // To be called for every record of every stream, in offset order.
  void onRecord(log_offset Offset, const wire::log_record &Record);

  // Fencing number of the lease's claim after the record at Offset; 0: nobody
  // had claimed it.
  int64_t fenceAt(const std::string &Lease, log_offset Offset) const;
  // Whether one process made both claims.
  bool isSameHolder(const std::string &Lease, int64_t Fence,
                    int64_t Other) const;
  bool hasValidIntent(const std::string &OrderId) const {
    return Intents.contains(OrderId);
  }
  int64_t lastClosedWindow() const { return LastClosed; }

private:
  struct claim {
    int64_t Fence = 0;
    int64_t Incarnation = 0;
    bool Released = false;
  };
  void onClaim(log_offset Offset, const wire::lease_claim &Claim);
  const claim *find(const std::string &Lease, int64_t Fence) const;
  bool isCurrent(const std::string &Lease, int64_t Fence) const;

  // By lease, in offset order.
  std::map<std::string, std::vector<claim>> Claims;
  std::set<std::string> Intents; // by order id
  int64_t LastClosed = 0;
};

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_LOG_REFERENCE_H
