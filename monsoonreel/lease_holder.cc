#include "monsoonreel/lease_holder.h"

#include <algorithm>
#include <utility>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// The holder renews after 1/renewals_per_lease of the duration, so that two
// renewals may fail before the lease expires.
constexpr int renewals_per_lease = 3;

} // namespace

lease_holder::lease_holder(lease_terms Terms, const node_identity &Self)
    : Terms(std::move(Terms)), Self(Self.Name), Incarnation(Self.Incarnation) {}

void lease_holder::setWanted(bool Want) {
  Wanted = Want && !Releasing;
  if (!Wanted)
    ClaimAt.reset();
}

bool lease_holder::isMine() const {
  return Current && !Current->Released &&
         Current->Incarnation == Incarnation.Value;
}

steady_time lease_holder::heldUntil() const {
  if (!Current)
    return steady_time::min();
  if (Current->Released)
    return ReadAt;
  duration Margin =
      isEnabled(mechanism::LeaseMargin) ? Terms.Margin : duration{};
  return ReadAt + fromMicros(Current->DurationMicros) + Margin;
}

void lease_holder::onLease(const wire::lease_state &Read, steady_time Now,
                           const record_writer &Writer) {
  if (Read.Lease != Terms.Name)
    return;
  // A claim that is read again as part of a snapshot does not extend the
  // lease.
  if (Current && Current->Fence == Read.Fence)
    return;
  bool Taken = !isMine() && Read.Incarnation == Incarnation.Value;
  if (Taken && Current)
    waitOutPredecessor();
  Current = Read;
  ReadAt = Now;
  ClaimAt.reset();
  ValidUntil = steady_time::min();
  if (isMine() && Pending && !Releasing)
    if (std::optional<steady_time> Sent = Writer.firstSent(*Pending))
      ValidUntil = *Sent + fromMicros(Read.DurationMicros);
}

void lease_holder::waitOutPredecessor() {
  duration WriteLatency =
      isEnabled(mechanism::LeaseMargin) ? Terms.MaxWriteLatency : duration{};
  ActFrom = std::max(ActFrom, heldUntil() + WriteLatency);
}

void lease_holder::onTick(steady_time Now, uint64_t Random, bool Ready,
                          record_writer &Writer) {
  if (Pending && !Writer.isQueued(*Pending))
    Pending.reset();
  if (Pending)
    return;
  if (Releasing && isMine())
    Pending = Writer.enqueue(makeClaim(true));
  if (!Wanted || !Ready)
    return;
  if (isMine() ? isRenewalDue(Now) : isClaimDue(Now, Random))
    Pending = Writer.enqueue(makeClaim(false));
}

bool lease_holder::isRenewalDue(steady_time Now) const {
  // This node's current claim does not let it act, for instance because it
  // came from a restored snapshot. The node waits for it to expire and then
  // claims again, as it does for another node's claim.
  if (ValidUntil == steady_time::min())
    return Now > heldUntil();
  return Now >=
         ValidUntil - Terms.Duration + Terms.Duration / renewals_per_lease;
}

bool lease_holder::isClaimDue(steady_time Now, uint64_t Random) {
  if (Now <= heldUntil()) {
    ClaimAt.reset();
    return false;
  }
  if (!ClaimAt) {
    auto Span = static_cast<uint64_t>(claim_jitter.count());
    ClaimAt = Now + duration(static_cast<int64_t>(Random % Span));
  }
  return Now >= *ClaimAt;
}

void lease_holder::release() {
  Wanted = false;
  Releasing = true;
  ValidUntil = steady_time::min();
}

wire::log_record lease_holder::makeClaim(bool Released) const {
  wire::lease_claim Claim;
  Claim.Lease = Terms.Name;
  Claim.Previous = Current ? Current->Fence : 0;
  Claim.Holder = Self.Value;
  Claim.Incarnation = Incarnation.Value;
  Claim.DurationMicros = toMicros(Terms.Duration);
  Claim.Released = Released;
  wire::log_record Record;
  Record.__set_LeaseClaim(Claim);
  return Record;
}

bool lease_holder::coversWrite(steady_time Now, duration WriteLatency) const {
  return isMine() && Now >= ActFrom && Now <= notAfter(WriteLatency);
}

bool lease_holder::mayAct(steady_time Now, duration WriteLatency) const {
  if (!isEnabled(mechanism::LeaseCheckBeforeWrite))
    return isMine();
  return coversWrite(Now, WriteLatency);
}

steady_time lease_holder::notAfter(duration WriteLatency) const {
  return ValidUntil == steady_time::min() ? ValidUntil
                                          : ValidUntil - WriteLatency;
}

std::optional<log_offset> lease_holder::fence() const {
  if (!isMine())
    return std::nullopt;
  return log_offset{Current->Fence};
}

} // namespace monsoonreel
