#include "monsoonreel/record_writer.h"

#include <algorithm>
#include <utility>

#include "monsoonreel/log_follower.h"

namespace monsoonreel {

record_writer::record_writer(std::string Stream, incarnation Writer,
                             call_counter &Calls)
    : Stream(std::move(Stream)), Writer(Writer), Calls(Calls) {}

std::optional<writer_ticket> record_writer::enqueue(wire::log_record Record) {
  if (isFull())
    return std::nullopt;
  Record.Incarnation = Writer.Value;
  Record.Sequence = LastSequence + 1;
  if (encodeRecord(Record).size() > max_record_bytes)
    return std::nullopt;
  ++LastSequence;
  writer_ticket Ticket{LastSequence};
  Queue.push_back({Ticket, std::move(Record), std::nullopt});
  return Ticket;
}

bool record_writer::cancel(writer_ticket Ticket) {
  auto Found = find(Ticket);
  if (Found == Queue.end() || Found->FirstSent)
    return false;
  Queue.erase(Found);
  return true;
}

std::deque<record_writer::queued_record>::const_iterator
record_writer::find(writer_ticket Ticket) const {
  return std::find_if(
      Queue.begin(), Queue.end(),
      [&](const queued_record &Queued) { return Queued.Ticket == Ticket; });
}

bool record_writer::isQueued(writer_ticket Ticket) const {
  return find(Ticket) != Queue.end();
}

std::optional<steady_time>
record_writer::firstSent(writer_ticket Ticket) const {
  auto Found = find(Ticket);
  return Found == Queue.end() ? std::nullopt : Found->FirstSent;
}

void record_writer::onTick(steady_time Now, effect_list &Effects) {
  if (Queue.empty() || Now < NextSend)
    return;
  queued_record &Head = Queue.front();
  if (!Head.FirstSent)
    Head.FirstSent = Now;
  Call = Calls.next();
  // The append counts as lost if no answer arrives within this time.
  NextSend = Now + append_timeout;
  Effects.push_back(append_record{*Call, Stream, Head.Record});
}

void record_writer::onAppendAnswered(const append_answered &Answer,
                                     steady_time Now) {
  if (Answer.Call != Call)
    return;
  Call.reset();
  Failures = 0;
  NextSend = Now + read_back_timeout;
}

void record_writer::onAppendFailed(const append_failed &Failure,
                                   steady_time Now, uint64_t Random) {
  if (Failure.Call != Call)
    return;
  Call.reset();
  ++Failures;
  NextSend = Now + backoffAfter(Failures, append_backoff_min,
                                append_backoff_max, Random);
}

void record_writer::onReplayed(log_offset Offset,
                               const wire::log_record &Record, bool Valid) {
  if (Record.Incarnation != Writer.Value || Queue.empty())
    return;
  if (Record.Sequence == Queue.front().Ticket.Value)
    finish(Offset, Valid);
}

void record_writer::onRestored(log_offset WriterOffset,
                               int64_t WriterSequence) {
  if (!Queue.empty() && Queue.front().Ticket.Value == WriterSequence)
    finish(WriterOffset, std::nullopt);
}

void record_writer::finish(log_offset Offset, std::optional<bool> Valid) {
  if (Written.size() < max_queued_records)
    Written.push_back({Queue.front().Ticket, Offset, Valid});
  Queue.pop_front();
  Call.reset();
  Failures = 0;
  NextSend = steady_time::min();
}

std::vector<written_record> record_writer::takeWritten() {
  return std::exchange(Written, {});
}

} // namespace monsoonreel
