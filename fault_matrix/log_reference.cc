#include "fault_matrix/log_reference.h"

#include "monsoonreel/ledger.h"

namespace monsoonreel::fault_matrix {

void log_reference::onRecord(log_offset Offset,
                             const wire::log_record &Record) {
  if (Record.__isset.LeaseClaim)
    onClaim(Offset, Record.LeaseClaim);
  if (Record.__isset.OrderIntent) {
    const wire::order_intent &Intent = Record.OrderIntent;
    if (isCurrent(orderLeaseName(zone_name(Intent.Zone)), Intent.Fence))
      Intents.insert(Intent.OrderId);
  }
  if (Record.__isset.UsageClose) {
    const wire::usage_close &Close = Record.UsageClose;
    if (Close.Window == LastClosed + 1 &&
        isCurrent(std::string(usage_lease), Close.Fence))
      LastClosed = Close.Window;
  }
}

void log_reference::onClaim(log_offset Offset, const wire::lease_claim &Claim) {
  std::vector<claim> &History = Claims[Claim.Lease];
  claim Current = History.empty() ? claim() : History.back();
  bool IsHolder = Current.Incarnation == Claim.Incarnation;
  if (Claim.Previous != Current.Fence || (Claim.Released && !IsHolder))
    return;
  History.push_back({Offset.Value, Claim.Incarnation, Claim.Released});
}

int64_t log_reference::fenceAt(const std::string &Lease,
                               log_offset Offset) const {
  int64_t Fence = 0;
  auto Found = Claims.find(Lease);
  if (Found == Claims.end())
    return Fence;
  for (const claim &Claim : Found->second)
    if (Claim.Fence <= Offset.Value)
      Fence = Claim.Fence;
  return Fence;
}

const log_reference::claim *log_reference::find(const std::string &Lease,
                                                int64_t Fence) const {
  auto Found = Claims.find(Lease);
  if (Found == Claims.end())
    return nullptr;
  for (const claim &Claim : Found->second)
    if (Claim.Fence == Fence)
      return &Claim;
  return nullptr;
}

bool log_reference::isSameHolder(const std::string &Lease, int64_t Fence,
                                 int64_t Other) const {
  const claim *First = find(Lease, Fence);
  const claim *Second = find(Lease, Other);
  return First && Second && First->Incarnation == Second->Incarnation;
}

bool log_reference::isCurrent(const std::string &Lease, int64_t Fence) const {
  auto Found = Claims.find(Lease);
  return Found != Claims.end() && !Found->second.empty() &&
         Found->second.back().Fence == Fence && !Found->second.back().Released;
}

} // namespace monsoonreel::fault_matrix
