#include "routing/duty_log.h"

#include <algorithm>
#include <utility>

namespace monsoonreel {

duty_log::duty_log(duty_terms Terms, const node_identity &Identity)
    : Terms(Terms), Self(Identity.Name.Value),
      Incarnation(Identity.Incarnation.Value) {}

bool duty_log::isMine() const {
  return Claim.Holder == Self && Claim.Incarnation == Incarnation &&
         !Claim.Released;
}

bool duty_log::mayAct(steady_time Now) const {
  return isMine() && !Releasing && Now >= ActFrom && Now < notAfter();
}

// -------------------------------------------------------------------- calls

void duty_log::onTick(steady_time Now, uint64_t Random,
                      routing_effects &Effects) {
  if (Open != call::None && Now - CalledAt >= duty_call_timeout) {
    Open = call::None;
    onCallFailed(Now);
    NextCall = Now; // the timeout has delayed the next call enough
  }
  if (Open != call::None || Now < NextCall)
    return;
  if (isMine()) {
    if (MustRead)
      return read(Now, Effects);
    if (Releasing || isRenewalDue(Now))
      return append(makeClaim(), Now, Effects);
    if (!UnwrittenFigures.empty() && mayAct(Now)) {
      wire::duty_record Record;
      Record.__set_Figures(UnwrittenFigures.front());
      return append(std::move(Record), Now, Effects);
    }
    return;
  }
  if (Releasing || !isClaimDue(Now, Random))
    return;
  // Renewals and figures that were appended in the meantime have to be read
  // before a claim.
  if (MustRead)
    return read(Now, Effects);
  append(makeClaim(), Now, Effects);
}

bool duty_log::isRenewalDue(steady_time Now) const {
  return Now >= ValidUntil - Terms.Duration * 5 / 8;
}

bool duty_log::isClaimDue(steady_time Now, uint64_t Random) {
  if (Known && Now < HeldUntil) {
    ClaimAt.reset();
    return false;
  }
  if (!ClaimAt) {
    MustRead = true;
    ClaimAt =
        Now + duration(Random % static_cast<uint64_t>(claimJitter().count()));
  }
  return Now >= *ClaimAt;
}

duration duty_log::claimJitter() const {
  duration Usual = std::max<duration>(duty_claim_jitter,
                                      duty_claim_jitter_per_entry *
                                          static_cast<int64_t>(Candidates));
  return Known ? Usual : std::max(Usual, first_claim_jitter);
}

wire::duty_record duty_log::makeClaim() const {
  wire::duty_claim New;
  New.Holder = Self;
  New.Incarnation = Incarnation;
  New.Fence = isMine() ? Claim.Fence : End;
  New.Released = Releasing;
  wire::duty_record Record;
  Record.__set_Claim(New);
  return Record;
}

void duty_log::append(wire::duty_record Record, steady_time Now,
                      routing_effects &Effects) {
  Open = call::Append;
  CalledAt = Now;
  Appending = Record;
  OpenId = call_id{OpenId.Value + 1};
  Effects.push_back(append_duty{OpenId, std::move(Record), End});
}

void duty_log::read(steady_time Now, routing_effects &Effects) {
  Open = call::Read;
  CalledAt = Now;
  OpenId = call_id{OpenId.Value + 1};
  Effects.push_back(read_duty_log{OpenId, End});
}

void duty_log::onAppended(const duty_appended &Appended, steady_time Now,
                          routing_effects & /*Effects*/) {
  if (Open != call::Append || Appended.Call != OpenId) {
    MustRead = true;
    return;
  }
  Open = call::None;
  switch (Appended.Outcome) {
  case append_outcome::Done:
    End = Appended.End;
    return applyRecord(Appending, Appended.Offset, Now, true);
  case append_outcome::Conflict:
    MustRead = true;
    return;
  case append_outcome::Refused:
  case append_outcome::Unknown:
    return onCallFailed(Now);
  }
}

void duty_log::onRead(const duty_log_read &Read, steady_time Now,
                      routing_effects & /*Effects*/) {
  if (Open != call::Read || Read.Call != OpenId)
    return;
  Open = call::None;
  if (Read.HistoryCut) {
    End = Read.Start;
    return;
  }
  if (!Read.Ok)
    return onCallFailed(Now);
  bool First = !std::exchange(Known, true);
  for (const wire::stored_record &Stored : Read.Records) {
    if (Stored.Offset < End)
      continue;
    // Every reader ignores a record that cannot be decoded.
    if (auto Record = decodeDutyRecord(Stored.Bytes))
      applyRecord(*Record, Stored.Offset, Now, false);
  }
  End = std::max(End, Read.End);
  MustRead = false;
  if (First && Claim.Holder.empty())
    HeldUntil = Now;
}

// A candidate draws a new random delay, as after the end of a lease. Otherwise
// all candidates would call a failing store as often as the holder does.
void duty_log::onCallFailed(steady_time Now) {
  MustRead = true;
  NextCall = Now + duty_retry_period;
  if (!isMine())
    ClaimAt.reset();
}

// ------------------------------------------------------------------ records

void duty_log::applyRecord(const wire::duty_record &Record, int64_t Offset,
                           steady_time Now, bool OwnAnswer) {
  if (Record.__isset.Claim)
    applyClaim(Record.Claim, Offset, Now, OwnAnswer);
  if (Record.__isset.Figures)
    applyFigures(Record.Figures);
}

void duty_log::applyClaim(const wire::duty_claim &Received, int64_t Offset,
                          steady_time Now, bool OwnAnswer) {
  if (Offset <= Claim.Offset)
    return;
  bool WasMine = isMine();
  duration Pause{};
  if (!Claim.Holder.empty())
    Pause = Claim.Released ? Terms.Handover : Terms.Flight;
  Claim = {Received.Holder, Received.Incarnation, Received.Fence, Offset,
           Received.Released};
  HeldUntil = Received.Released ? Now : Now + Terms.Duration + Terms.Margin;
  ClaimAt.reset();
  if (!isMine()) {
    UnwrittenFigures.clear();
    ValidUntil = {};
    return;
  }
  // The send time of an own claim that is found by reading the log is unknown.
  // The claim counts, but it does not allow this entry to act; the renewal that
  // follows does.
  if (OwnAnswer)
    ValidUntil = CalledAt + Terms.Duration;
  if (!WasMine)
    ActFrom = Now + Pause;
}

void duty_log::applyFigures(const wire::window_counts &Received) {
  Figures.try_emplace(Received.Window, Received);
  while (Figures.size() > Terms.KeptFigures)
    Figures.erase(Figures.begin());
  std::erase_if(UnwrittenFigures, [&](const wire::window_counts &Waiting) {
    return Waiting.Window == Received.Window;
  });
}

void duty_log::onPeerClaim(const duty_claim_view &Received, steady_time Now) {
  if (Received.Offset <= Claim.Offset || isMine())
    return;
  // The figures that precede the claim are not known yet. They are read before
  // this entry claims.
  Claim = Received;
  HeldUntil = Now + Terms.Duration + Terms.Margin;
  ClaimAt.reset();
  MustRead = true;
}

void duty_log::queueFigures(const wire::window_counts &Sum) {
  bool Waiting = std::any_of(
      UnwrittenFigures.begin(), UnwrittenFigures.end(),
      [&](const wire::window_counts &W) { return W.Window == Sum.Window; });
  if (!Waiting && !Figures.contains(Sum.Window))
    UnwrittenFigures.push_back(Sum);
}

const wire::window_counts *duty_log::figures(int64_t Window) const {
  auto It = Figures.find(Window);
  return It == Figures.end() ? nullptr : &It->second;
}

int64_t duty_log::lastFiguredWindow() const {
  return Figures.empty() ? 0 : Figures.rbegin()->first;
}

} // namespace monsoonreel
