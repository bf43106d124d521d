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
    NextCall = Now; // the wait for the answer was long enough
  }
  if (Open != call::None || Now < NextCall)
    return;
  if (isMine()) {
    if (MustRead)
      return read(Now, Effects);
    if (Releasing || isRenewalDue(Now))
      return append(makeClaim(), Now, Effects);
    if (!ToFix.empty() && mayAct(Now)) {
      wire::duty_record Record;
      Record.__set_Figures(ToFix.front());
      return append(std::move(Record), Now, Effects);
    }
    return;
  }
  if (Releasing || !isClaimDue(Now, Random))
    return;
  // What was renewed or written meanwhile is read before a claim.
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
  duration Usual = std::max<duration>(
      duty_claim_jitter, duty_claim_share * static_cast<int64_t>(Candidates));
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
    return take(Appending, Appended.Offset, Now, true);
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
    // A record that can't be read is void for every reader alike.
    if (auto Record = decodeDutyRecord(Stored.Bytes))
      take(*Record, Stored.Offset, Now, false);
  }
  End = std::max(End, Read.End);
  MustRead = false;
  if (First && Claim.Holder.empty())
    HeldUntil = Now;
}

// A candidate takes its turn by lot again, as after a holder's end: otherwise
// all of them would call a store that fails as often as a holder does.
void duty_log::onCallFailed(steady_time Now) {
  MustRead = true;
  NextCall = Now + duty_retry_period;
  if (!isMine())
    ClaimAt.reset();
}

// ------------------------------------------------------------------ records

void duty_log::take(const wire::duty_record &Record, int64_t Offset,
                    steady_time Now, bool OwnAnswer) {
  if (Record.__isset.Claim)
    takeClaim(Record.Claim, Offset, Now, OwnAnswer);
  if (Record.__isset.Figures)
    takeFigures(Record.Figures);
}

void duty_log::takeClaim(const wire::duty_claim &Heard, int64_t Offset,
                         steady_time Now, bool OwnAnswer) {
  if (Offset <= Claim.Offset)
    return;
  bool WasMine = isMine();
  duration Pause{};
  if (!Claim.Holder.empty())
    Pause = Claim.Released ? Terms.Handover : Terms.Flight;
  Claim = {Heard.Holder, Heard.Incarnation, Heard.Fence, Offset,
           Heard.Released};
  HeldUntil = Heard.Released ? Now : Now + Terms.Duration + Terms.Margin;
  ClaimAt.reset();
  if (!isMine()) {
    ToFix.clear();
    ValidUntil = {};
    return;
  }
  // An own claim that is found by reading was sent at an unknown time. It
  // counts as a claim, but not as time to act: the renewal that follows does.
  if (OwnAnswer)
    ValidUntil = CalledAt + Terms.Duration;
  if (!WasMine)
    ActFrom = Now + Pause;
}

void duty_log::takeFigures(const wire::window_counts &Heard) {
  Figures.try_emplace(Heard.Window, Heard);
  while (Figures.size() > Terms.KeptFigures)
    Figures.erase(Figures.begin());
  std::erase_if(ToFix, [&](const wire::window_counts &Waiting) {
    return Waiting.Window == Heard.Window;
  });
}

void duty_log::onPeerClaim(const duty_claim_view &Heard, steady_time Now) {
  if (Heard.Offset <= Claim.Offset || isMine())
    return;
  // The figures before it are not known yet; they are read before a claim.
  Claim = Heard;
  HeldUntil = Now + Terms.Duration + Terms.Margin;
  ClaimAt.reset();
  MustRead = true;
}

void duty_log::fixFigures(const wire::window_counts &Sum) {
  bool Waiting = std::any_of(
      ToFix.begin(), ToFix.end(),
      [&](const wire::window_counts &W) { return W.Window == Sum.Window; });
  if (!Waiting && !Figures.contains(Sum.Window))
    ToFix.push_back(Sum);
}

const wire::window_counts *duty_log::figures(int64_t Window) const {
  auto It = Figures.find(Window);
  return It == Figures.end() ? nullptr : &It->second;
}

int64_t duty_log::lastFiguredWindow() const {
  return Figures.empty() ? 0 : Figures.rbegin()->first;
}

} // namespace monsoonreel
