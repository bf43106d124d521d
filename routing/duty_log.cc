#include "routing/duty_log.h"

#include <algorithm>
#include <utility>

#include "routing/decision_log.h"

namespace monsoonreel {

namespace {

// Returns the fencing token of a first claim at this position: the offset, with
// the number of restores before it in the upper bits. It stays below 2^53 for a
// million restores, so readers of JSON can represent it.
int64_t fenceOf(const store_position &Position) {
  constexpr int offset_bits = 32;
  int64_t Restores = std::max<int64_t>(Position.Era - first_store_era, 0);
  return (Restores << offset_bits) + Position.Offset;
}

} // namespace

duty_log::duty_log(duty_terms Terms, const node_identity &Identity)
    : Terms(Terms), Self(Identity.Name.Value),
      Incarnation(Identity.Incarnation.Value) {}

bool duty_log::isMine() const {
  return Claim.Holder == Self && Claim.Incarnation == Incarnation &&
         !Claim.Released && isClaimCurrent() && Claim.MadeInEra == End.Era;
}

bool duty_log::isClaimCurrent() const {
  return Claim.At.Era == End.Era && Claim.At.Offset >= GapEnd;
}

bool duty_log::mayAct(steady_time Now) const {
  return isMine() && !hasLowerFence() && !Releasing && Now >= ActFrom &&
         Now < notAfter();
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
    if (!UnwrittenFigures.empty() && Now < notAfter()) {
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
  return hasLowerFence() || Now >= ValidUntil - Terms.Duration * 5 / 8;
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
  New.Fence = isMine() && !hasLowerFence() ? Claim.Fence : nextFence();
  New.Released = Releasing;
  New.Era = End.Era;
  wire::duty_record Record;
  Record.__set_Claim(New);
  return Record;
}

// Claims that the store has lost are not in the log, but their tokens may be
// known from peers.
int64_t duty_log::nextFence() const {
  return std::max(fenceOf(End), HighestFence + 1);
}

void duty_log::append(wire::duty_record Record, steady_time Now,
                      routing_effects &Effects) {
  Open = call::Append;
  CalledAt = Now;
  Appending = Record;
  OpenId = call_id{OpenId.Value + 1};
  Effects.push_back(append_duty{OpenId, std::move(Record), End.Offset});
}

void duty_log::read(steady_time Now, routing_effects &Effects) {
  Open = call::Read;
  CalledAt = Now;
  OpenId = call_id{OpenId.Value + 1};
  Effects.push_back(read_duty_log{OpenId, End.Offset});
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
    End.Offset = Appended.End;
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
                      routing_effects &Effects) {
  if (Open != call::Read || Read.Call != OpenId)
    return;
  Open = call::None;
  if (Read.HistoryCut)
    return onHistoryCut(Read.Start, Now, Effects);
  if (!Read.Ok)
    return onCallFailed(Now);
  bool First = !std::exchange(Known, true);
  for (const wire::stored_record &Stored : Read.Records) {
    if (Stored.Offset < End.Offset)
      continue;
    // Every reader ignores a record that cannot be decoded.
    if (auto Record = decodeDutyRecord(Stored.Bytes))
      applyRecord(*Record, Stored.Offset, Now, false);
  }
  End.Offset = std::max(End.Offset, Read.End);
  MustRead = false;
  bool IsUnknown = std::exchange(IsGapNew, false) && !isClaimCurrent();
  if (IsUnknown)
    IsReclaiming = IsReclaiming && Now < ReclaimableUntil;
  if (IsUnknown && !IsReclaiming) {
    HeldUntil = Now + Terms.Duration + Terms.Margin;
    ClaimAt.reset();
  } else if (First && (Claim.Holder.empty() || Claim.isOutdated())) {
    HeldUntil = mayLackClaims() ? Now + Terms.Duration + Terms.Margin : Now;
  }
}

void duty_log::onHistoryCut(int64_t Start, steady_time Now,
                            routing_effects &Effects) {
  bool WasMine = isMine();
  bool WasValid = WasMine && !Releasing && Now < ValidUntil;
  End.Offset = GapEnd = Start;
  IsGapNew = true;
  if (WasMine)
    HistoryToReclaim = History;
  History.GapFoundAt = Now;
  FirstReadFigures.reset();
  if (!WasMine)
    return;
  // The log is read on at once, as by a candidate whose turn has come. Nobody
  // else has claimed while the lease was valid.
  IsReclaiming = WasValid;
  ReclaimableUntil = ValidUntil;
  HeldUntil = Now;
  ClaimAt = Now;
  ValidUntil = {};
  UnwrittenFigures.clear();
  Effects.push_back(decision("duty-claim-outdated")
                        .add("reason", "history-cut")
                        .add("fence", Claim.Fence)
                        .add("claim_offset", Claim.At.Offset)
                        .add("history_start", Start)
                        .add("reclaims", IsReclaiming ? 1 : 0)
                        .line(log_level::Warning));
  Effects.push_back(
      count_metric{"monsoonreel_duty_claims_outdated_total", {}, 1});
}

// A store that was restored may have lost a claim that is still valid.
bool duty_log::mayLackClaims() const { return End.Era > first_store_era; }

void duty_log::onEra(int64_t Era, steady_time Now, routing_effects &Effects) {
  if (Era <= End.Era)
    return;
  HistoryToReclaim = History;
  if (Era > first_store_era)
    History.EraSince = Now;
  if (!Known && End.Era == 0) {
    End.Era = Era;
    return;
  }
  IsReclaiming = isMine() && !Releasing && Now < ValidUntil;
  ReclaimableUntil = ValidUntil;
  HeldUntil = IsReclaiming ? Now : Now + Terms.Duration + Terms.Margin;
  ClaimAt.reset();
  if (IsReclaiming)
    ClaimAt = Now;
  ValidUntil = {};
  for (auto &[Window, Lost] : Figures)
    LostFigures.insert_or_assign(Window, std::move(Lost));
  Figures.clear();
  UnwrittenFigures.clear();
  Effects.push_back(
      decision("duty-log-restored")
          .add("old_era", End.Era)
          .add("new_era", Era)
          .add("old_end", End.Offset)
          .add("holder", Claim.Holder)
          .add("fence", Claim.Fence)
          .add("reclaims", IsReclaiming ? 1 : 0)
          .add("figures", static_cast<int64_t>(LostFigures.size()))
          .line(log_level::Warning));
  End = {Era, 0};
  GapEnd = 0;
  IsGapNew = false;
  History.GapFoundAt = steady_time::min();
  FirstReadFigures.reset();
  MustRead = true;
  // An open call was sent for the previous era, so its answer is ignored.
  Open = call::None;
  NextCall = Now;
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
  store_position At{End.Era, Offset};
  HighestFence = std::max(HighestFence, Received.Fence);
  bool IsOutdated = Received.Era != 0 && Received.Era < End.Era;
  bool HasCurrent = Claim.At.Era == End.Era && !Claim.isOutdated();
  if (At <= Claim.At || (IsOutdated && HasCurrent))
    return;
  bool WasMine = isMine();
  duration Pause{};
  if (!Claim.Holder.empty())
    Pause = Claim.Released ? Terms.Handover : Terms.Flight;
  Claim = {Received.Holder,   Received.Incarnation, Received.Fence, At,
           Received.Released, Received.Era};
  // Leases of the earlier era have been waited for since this entry learned of
  // the new one.
  if (Claim.isOutdated())
    return;
  if (std::exchange(IsReclaiming, false) && isMine())
    History = HistoryToReclaim;
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
  if (!WasMine) {
    ActFrom = Now + Pause;
    queueLostFigures();
  }
}

void duty_log::queueLostFigures() {
  for (const auto &[Window, Lost] : LostFigures)
    UnwrittenFigures.push_back(Lost);
}

void duty_log::applyFigures(const wire::window_counts &Received) {
  FirstReadFigures = FirstReadFigures.value_or(Received.Window);
  Figures.try_emplace(Received.Window, Received);
  LostFigures.erase(Received.Window);
  while (Figures.size() > Terms.KeptFigures)
    Figures.erase(Figures.begin());
  std::erase_if(UnwrittenFigures, [&](const wire::window_counts &Waiting) {
    return Waiting.Window == Received.Window;
  });
}

void duty_log::onPeerClaim(duty_claim_view Received, steady_time Now) {
  HighestFence = std::max(HighestFence, Received.Fence);
  // Older builds do not state the era. Their claims may be of an earlier one,
  // so they do not end this entry's own claim.
  bool StatesEra = Received.At.Era != 0;
  if (!StatesEra)
    Received.At.Era = End.Era;
  Received.MadeInEra = Received.At.Era;
  if (Received.At <= Claim.At || (isMine() && !StatesEra))
    return;
  // The figures that precede the claim are not known yet. They are read before
  // this entry claims.
  if (Received.At.Era == End.Era)
    IsReclaiming = false;
  Claim = std::move(Received);
  if (IsReclaiming)
    return;
  if (!isMine()) {
    UnwrittenFigures.clear();
    ValidUntil = {};
  }
  HeldUntil = Now + Terms.Duration + Terms.Margin;
  ClaimAt.reset();
  MustRead = true;
}

void duty_log::queueFigures(const wire::window_counts &Sum) {
  bool Waiting = std::any_of(
      UnwrittenFigures.begin(), UnwrittenFigures.end(),
      [&](const wire::window_counts &W) { return W.Window == Sum.Window; });
  if (Waiting || Figures.contains(Sum.Window))
    return;
  // Lost figures may have been reported already. Windows are summed up in
  // order, so this one was, if a later one has figures.
  if (auto Lost = LostFigures.find(Sum.Window); Lost != LostFigures.end())
    UnwrittenFigures.push_back(Lost->second);
  else if (!hasLaterFigures(Sum.Window))
    UnwrittenFigures.push_back(Sum);
}

const wire::window_counts *duty_log::figures(int64_t Window) const {
  auto It = Figures.find(Window);
  return It == Figures.end() ? nullptr : &It->second;
}

bool duty_log::hasFigures(int64_t Window) const {
  return Figures.contains(Window) || LostFigures.contains(Window);
}

bool duty_log::wouldHaveRead(int64_t Window, steady_time EndedAt) const {
  return EndedAt >= History.GapFoundAt ||
         (FirstReadFigures && *FirstReadFigures < Window);
}

std::vector<wire::window_counts>
duty_log::rememberFigures(const std::vector<wire::window_counts> &Reported) {
  std::vector<wire::window_counts> New;
  for (const wire::window_counts &Each : Reported)
    if (!Figures.contains(Each.Window) &&
        LostFigures.try_emplace(Each.Window, Each).second)
      New.push_back(Each);
  trimLostFigures();
  return New;
}

void duty_log::keepFigures(const std::vector<wire::window_counts> &Written) {
  for (const wire::window_counts &Each : Written)
    if (!Figures.contains(Each.Window))
      LostFigures.insert_or_assign(Each.Window, Each);
  trimLostFigures();
}

void duty_log::trimLostFigures() {
  while (LostFigures.size() > Terms.KeptFigures)
    LostFigures.erase(LostFigures.begin());
}

std::vector<wire::window_counts> duty_log::lostFigures(int64_t First) const {
  std::vector<wire::window_counts> Lost;
  for (auto It = LostFigures.lower_bound(First); It != LostFigures.end(); ++It)
    Lost.push_back(It->second);
  return Lost;
}

std::vector<wire::window_counts> duty_log::knownFigures(int64_t First) const {
  std::vector<wire::window_counts> Known = lostFigures(First);
  for (auto It = Figures.lower_bound(First); It != Figures.end(); ++It)
    Known.push_back(It->second);
  return Known;
}

// Returns whether figures of a later window are known. Those of a window far
// ahead stem from a wrong clock.
bool duty_log::hasLaterFigures(int64_t Window) const {
  auto Kept = static_cast<int64_t>(Terms.KeptFigures);
  auto HasLater = [&](const auto &Known) {
    auto Next = Known.upper_bound(Window);
    return Next != Known.end() && Next->first <= Window + Kept;
  };
  return HasLater(Figures) || HasLater(LostFigures);
}

int64_t duty_log::lastFiguredWindow() const {
  return Figures.empty() ? 0 : Figures.rbegin()->first;
}

} // namespace monsoonreel
