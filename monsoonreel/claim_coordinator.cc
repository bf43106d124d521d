#include "monsoonreel/claim_coordinator.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "monsoonreel/claim_routing.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

std::pair<int64_t, int64_t> keyOf(const wire::attempt_id &Attempt) {
  return {Attempt.Incarnation, Attempt.Sequence};
}

wire::claim_answer makeAnswer(const wire::claim_ask &Ask,
                              wire::claim_verdict::type Verdict,
                              duration RetryAfter = {}) {
  wire::claim_answer Answer;
  Answer.Attempt = Ask.Attempt;
  Answer.Verdict = Verdict;
  Answer.RetryAfterMicros = toMicros(RetryAfter);
  return Answer;
}

wire::claim_settled makeSettled(const wire::claim_settle &Settle) {
  wire::claim_settled Settled;
  Settled.Attempt = Settle.Attempt;
  return Settled;
}

size_t outcomeBytes(const wire::claim_settle &Settle) {
  constexpr size_t Overhead = 128;
  return Overhead + (Settle.__isset.Answer ? Settle.Answer.Body.size() : 0);
}

} // namespace

claim_coordinator::claim_coordinator(node_identity Identity,
                                     call_counter &Calls)
    : Self(std::move(Identity)),
      Writer(std::string(claims_stream), Self.Incarnation, Calls) {}

void claim_coordinator::applyRecord(log_offset Offset, const std::string &Bytes,
                                    steady_time Now, effect_list &Effects) {
  wire::log_record Record;
  // A record that does not decode only advances the offset.
  if (auto Decoded = decodeRecord(Bytes))
    Record = std::move(*Decoded);
  Table.apply(Offset, Record, Effects);
  Writer.onReplayed(Offset, Record, true);
  if (Record.__isset.Snapshot) {
    RecordsSinceSnapshot = 0;
    FirstRecordSinceSnapshot.reset();
    return;
  }
  ++RecordsSinceSnapshot;
  if (!FirstRecordSinceSnapshot)
    FirstRecordSinceSnapshot = Now;
  for (const wire::claim_entry &Entry : Record.ClaimBatch.Claims)
    ReadBackAt.try_emplace(keyOf(Entry.Attempt), Now);
}

bool claim_coordinator::restoreSnapshot(log_offset Covers,
                                        const std::string &State, steady_time,
                                        effect_list &Effects) {
  auto Decoded = decodeClaimsState(State);
  if (!Decoded || !Table.restore(Covers, *Decoded, Effects))
    return false;
  wire::writer_state Own = Table.writer(Self.Incarnation);
  Writer.onRestored(log_offset{Own.LastOffset}, Own.Sequence);
  return true;
}

void claim_coordinator::onTick(const claim_coordinator_tick &Tick,
                               const membership &Members,
                               effect_list &Effects) {
  CaughtUp = Tick.CaughtUp;
  answerWritten(Tick.Now, Members, Effects);
  answerDecided(Tick.Now, Members, Effects);
  dropStale(Tick.Now);
  if (Tick.Now >= NextBatch && !InFlight)
    appendBatch(Tick, Effects);
  if (!InFlight)
    appendSnapshot(Tick, Members, Effects);
  Writer.onTick(Tick.Now, Effects);
}

bool claim_coordinator::onMessage(const peer_message_received &Received,
                                  steady_time Now, const membership &Members,
                                  effect_list &Effects) {
  requester From{Received.From, Received.FromAddress};
  if (const wire::member *Member = Members.find(Received.From))
    From.Address = address(Member->Address);
  if (const auto *Ask = std::get_if<wire::claim_ask>(&Received.Message)) {
    onAsk(*Ask, From, Now, Members, Effects);
    return true;
  }
  if (const auto *Settle = std::get_if<wire::claim_settle>(&Received.Message)) {
    onSettle(*Settle, From, Now, Effects);
    return true;
  }
  return false;
}

void claim_coordinator::onAsk(const wire::claim_ask &Ask, const requester &From,
                              steady_time Now, const membership &Members,
                              effect_list &Effects) {
  if (std::optional<wire::claim_answer> Answer =
          answerFrom(Ask, Now, Members)) {
    send(From, std::move(*Answer), Effects);
    return;
  }
  auto Known = Asks.find(keyOf(Ask.Attempt));
  if (Known != Asks.end()) {
    Known->second.From = From;
    return;
  }
  bool Accepts =
      CaughtUp && !isLogUnavailable(Now) && Asks.size() < max_waiting_asks;
  if (!Accepts) {
    send(From,
         makeAnswer(Ask, wire::claim_verdict::Unavailable,
                    log_outage_retry_after),
         Effects);
    return;
  }
  Asks[keyOf(Ask.Attempt)] = {Ask, From, Now, std::nullopt};
}

void claim_coordinator::onSettle(const wire::claim_settle &Settle,
                                 const requester &From, steady_time Now,
                                 effect_list &Effects) {
  if (Table.isSettled(Settle.Key, Settle.Attempt)) {
    send(From, makeSettled(Settle), Effects);
    return;
  }
  auto Known = Settles.find(keyOf(Settle.Attempt));
  if (Known != Settles.end()) {
    Known->second.From = From;
    return;
  }
  // No answer is needed here: the entry times out and asks another
  // coordinator, or this one again later.
  if (!CaughtUp || Settles.size() >= max_waiting_settles)
    return;
  Settles[keyOf(Settle.Attempt)] = {Settle, From, Now, std::nullopt};
}

std::optional<wire::claim_answer>
claim_coordinator::answerFrom(const wire::claim_ask &Ask, steady_time Now,
                              const membership &Members) const {
  const claim *Claim = Table.find(Ask.Key);
  if (Claim && Claim->Held) {
    bool Own = Claim->Holder == Ask.Attempt && !Claim->Settled;
    if (Own)
      return makeAnswer(Ask, wire::claim_verdict::Won);
    return answerAboutOther(Ask, *Claim, Now, Members);
  }
  if (Table.isExpired(Ask.KeyMicros))
    return makeAnswer(Ask, wire::claim_verdict::Expired);
  if (Table.isReleased(Ask.Key, Ask.Attempt) &&
      isEnabled(mechanism::ClaimReleaseVoids))
    return makeAnswer(Ask, wire::claim_verdict::Unavailable);
  return std::nullopt;
}

wire::claim_answer
claim_coordinator::answerAboutOther(const wire::claim_ask &Ask,
                                    const claim &Claim, steady_time Now,
                                    const membership &Members) const {
  if (Claim.BodyHash != Ask.BodyHash)
    return makeAnswer(Ask, wire::claim_verdict::Mismatch);
  if (Claim.Settled && Claim.Outcome == wire::run_outcome::Run) {
    wire::claim_answer Answer = makeAnswer(Ask, wire::claim_verdict::Finished);
    if (const wire::recorded_answer *Recorded = Table.findAnswer(Ask.Key))
      Answer.__set_Answer(*Recorded);
    return Answer;
  }
  auto Read = ReadBackAt.find(keyOf(Claim.Holder));
  bool Recent = Read != ReadBackAt.end() && Now - Read->second < holder_grace;
  bool MayRun =
      Recent || Members.mayBeRunning(incarnation{Claim.Holder.Incarnation});
  if (!Claim.Settled && MayRun)
    return makeAnswer(Ask, wire::claim_verdict::InProgress,
                      in_progress_retry_after);
  return makeAnswer(Ask, wire::claim_verdict::OutcomeUnknown);
}

bool claim_coordinator::isLogUnavailable(steady_time Now) const {
  if (!InFlight)
    return false;
  std::optional<steady_time> Sent = Writer.firstSent(*InFlight);
  return Sent && Now - *Sent >= log_outage_after;
}

std::vector<claim_coordinator::waiting<wire::claim_ask> *>
claim_coordinator::addClaims(wire::claim_batch &Batch) {
  std::vector<waiting<wire::claim_ask> *> Claimed;
  for (auto &[Key, Waiting] : Asks) {
    if (Batch.Claims.size() >= max_batch_claims)
      break;
    wire::claim_entry Entry;
    Entry.Key = Waiting.Message.Key;
    Entry.Attempt = Waiting.Message.Attempt;
    Entry.BodyHash = Waiting.Message.BodyHash;
    Entry.KeyMicros = Waiting.Message.KeyMicros;
    Entry.CreatedWallMicros = Batch.WallMicros;
    Batch.Claims.push_back(std::move(Entry));
    Claimed.push_back(&Waiting);
  }
  return Claimed;
}

std::vector<claim_coordinator::waiting<wire::claim_settle> *>
claim_coordinator::addOutcomes(wire::claim_batch &Batch) {
  std::vector<waiting<wire::claim_settle> *> Settled;
  size_t Bytes = 0;
  for (auto &[Key, Waiting] : Settles) {
    Bytes += outcomeBytes(Waiting.Message);
    if (Bytes > max_batch_outcome_bytes)
      break;
    wire::claim_outcome Outcome;
    Outcome.Key = Waiting.Message.Key;
    Outcome.Attempt = Waiting.Message.Attempt;
    Outcome.Outcome = Waiting.Message.Outcome;
    if (Waiting.Message.__isset.Answer)
      Outcome.__set_Answer(Waiting.Message.Answer);
    Batch.Outcomes.push_back(std::move(Outcome));
    Settled.push_back(&Waiting);
  }
  return Settled;
}

void claim_coordinator::appendBatch(const claim_coordinator_tick &Tick,
                                    effect_list &Effects) {
  if (Asks.empty() && Settles.empty())
    return;
  wire::claim_batch Batch;
  Batch.WallMicros = Tick.Wall.time_since_epoch().count();
  Batch.WindowMicros = toMicros(Tick.Window);
  std::vector<waiting<wire::claim_ask> *> Claimed = addClaims(Batch);
  std::vector<waiting<wire::claim_settle> *> Settled = addOutcomes(Batch);
  wire::log_record Record;
  Record.__set_ClaimBatch(Batch);
  InFlight = Writer.enqueue(std::move(Record));
  if (!InFlight)
    return;
  NextBatch = Tick.Now + claim_batch_period;
  for (auto *Waiting : Claimed)
    Waiting->Ticket = InFlight;
  for (auto *Waiting : Settled)
    Waiting->Ticket = InFlight;
  if (isEnabled(mechanism::ClaimReadBack))
    return;
  for (auto *Waiting : Claimed)
    send(Waiting->From, makeAnswer(Waiting->Message, wire::claim_verdict::Won),
         Effects);
}

void claim_coordinator::answerWritten(steady_time Now,
                                      const membership &Members,
                                      effect_list &Effects) {
  for (const written_record &Written : Writer.takeWritten()) {
    if (InFlight == Written.Ticket)
      InFlight.reset();
    std::erase_if(Asks, [&](const auto &Entry) {
      const auto &Waiting = Entry.second;
      if (Waiting.Ticket != Written.Ticket)
        return false;
      // A claim that was void because the table is full is not in the table.
      wire::claim_answer Answer =
          answerFrom(Waiting.Message, Now, Members)
              .value_or(makeAnswer(Waiting.Message,
                                   wire::claim_verdict::Unavailable,
                                   log_outage_retry_after));
      send(Waiting.From, std::move(Answer), Effects);
      return true;
    });
    std::erase_if(Settles, [&](const auto &Entry) {
      const auto &Waiting = Entry.second;
      if (Waiting.Ticket != Written.Ticket)
        return false;
      send(Waiting.From, makeSettled(Waiting.Message), Effects);
      return true;
    });
  }
}

// Answers the asks that a record of another coordinator has decided in the
// meantime.
void claim_coordinator::answerDecided(steady_time Now,
                                      const membership &Members,
                                      effect_list &Effects) {
  std::erase_if(Asks, [&](const auto &Entry) {
    const auto &Waiting = Entry.second;
    if (Waiting.Ticket)
      return false;
    std::optional<wire::claim_answer> Answer =
        answerFrom(Waiting.Message, Now, Members);
    if (Answer)
      send(Waiting.From, std::move(*Answer), Effects);
    return Answer.has_value();
  });
}

void claim_coordinator::dropStale(steady_time Now) {
  // Messages that are in a batch stay until the batch is read back.
  auto IsStale = [&](const auto &Entry) {
    return !Entry.second.Ticket &&
           Now - Entry.second.Since >= waiting_ask_retention;
  };
  std::erase_if(Asks, IsStale);
  std::erase_if(Settles, IsStale);
  std::erase_if(ReadBackAt, [&](const auto &Entry) {
    return Now - Entry.second >= holder_grace;
  });
}

void claim_coordinator::appendSnapshot(const claim_coordinator_tick &Tick,
                                       const membership &Members,
                                       effect_list &Effects) {
  if (!CaughtUp || !FirstRecordSinceSnapshot)
    return;
  size_t Rank = coordinatorRank(Members);
  size_t Records =
      claims_snapshot_records + Rank * claims_snapshot_stagger_records;
  duration Period = claims_snapshot_period + Rank * claims_snapshot_stagger;
  if (RecordsSinceSnapshot < Records &&
      Tick.Now - *FirstRecordSinceSnapshot < Period)
    return;
  RecordsSinceSnapshot = 0;
  FirstRecordSinceSnapshot = Tick.Now;
  wire::snapshot Snapshot;
  Snapshot.CoversOffset = Table.applied().Value;
  Snapshot.State = encodeState(Table.state());
  wire::log_record Record;
  Record.__set_Snapshot(Snapshot);
  InFlight = Writer.enqueue(std::move(Record));
  if (!InFlight)
    Effects.push_back(log_line{
        log_level::Error, "claims state does not fit into a snapshot record"});
}

void claim_coordinator::onAppendAnswered(const append_answered &Answer,
                                         steady_time Now) {
  Writer.onAppendAnswered(Answer, Now);
}

void claim_coordinator::onAppendFailed(const append_failed &Failure,
                                       steady_time Now, uint64_t Random) {
  Writer.onAppendFailed(Failure, Now, Random);
}

void claim_coordinator::send(const requester &To, wire::peer_message Message,
                             effect_list &Effects) {
  Effects.push_back(send_message{To.Name, To.Address, std::move(Message)});
}

} // namespace monsoonreel
