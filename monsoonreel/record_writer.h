// Appends records to one stream until they are read back.
//
//   record_writer Writer(std::string(usage_stream), Self.Incarnation, Calls);
//   std::optional<writer_ticket> Ticket = Writer.enqueue(std::move(Record));
//   Writer.onTick(Now, Effects);                  // sends, and sends again
//   Writer.onReplayed(Offset, Record, Valid);     // from the stream's replay
//   for (const written_record &Done : Writer.takeWritten()) ...
//
// An append whose answer is lost may have taken effect, so the same record,
// with the same (incarnation, sequence), is sent again until the replay shows
// it. The replay counts it once.
//
// Ordering: one record is in flight at a time, and the next one is sent only
// after the replay has shown it. So the records of a writer are in the log in
// the order of their sequence, and a late copy of an old record is always
// behind a newer one of the same writer and void. Volume is carried by records
// that hold many batches.
//
// An append that the platform answered is not sent again before
// `read_back_timeout`, because the replay will show it soon.

#ifndef MONSOONREEL_RECORD_WRITER_H
#define MONSOONREEL_RECORD_WRITER_H

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr size_t max_queued_records = 256;
// Room for the platform's own framing below the largest frame.
constexpr size_t max_record_bytes = max_frame_bytes - 1024;
constexpr duration append_timeout = std::chrono::seconds(2);
constexpr duration read_back_timeout = std::chrono::seconds(3);
constexpr duration append_backoff_min = std::chrono::milliseconds(100);
constexpr duration append_backoff_max = std::chrono::seconds(5);

// Numbers the calls of one process to the platform.
class call_counter {
public:
  call_id next() { return call_id{++Last}; }

private:
  int64_t Last = 0;
};

// Names a record from its enqueuing until it is written: its sequence.
using writer_ticket = strong_id<struct writer_ticket_tag>;

// A record that the replay has shown.
struct written_record {
  writer_ticket Ticket;
  log_offset Offset;
  // Whether it was valid; nothing when a snapshot covered it. A void record is
  // not sent again.
  std::optional<bool> Valid;
};

class record_writer {
public:
  record_writer(std::string Stream, incarnation Writer, call_counter &Calls);

  // Queues a record and returns its ticket, or nothing when the queue is full
  // or the record too large. Sets the record's writer and sequence.
  std::optional<writer_ticket> enqueue(wire::log_record Record);

  // Takes a record back that was not sent yet. False when it may be in the log.
  bool cancel(writer_ticket Ticket);

  void onTick(steady_time Now, effect_list &Effects);
  void onAppendAnswered(const append_answered &Answer, steady_time Now);
  void onAppendFailed(const append_failed &Failure, steady_time Now,
                      uint64_t Random);
  // Every record of the stream that is replayed.
  void onReplayed(log_offset Offset, const wire::log_record &Record,
                  bool Valid);
  // After a restore: the replay may have passed the record in flight.
  void onRestored(log_offset WriterOffset, int64_t WriterSequence);

  // Whether the replay has not shown the record yet.
  bool isQueued(writer_ticket Ticket) const;

  // Records that the replay has shown since the last call.
  std::vector<written_record> takeWritten();

  // When the record was sent first. Nothing before that, and after the replay
  // has shown it.
  std::optional<steady_time> firstSent(writer_ticket Ticket) const;
  size_t queued() const { return Queue.size(); }
  bool isFull() const { return Queue.size() >= max_queued_records; }

private:
  struct queued_record {
    writer_ticket Ticket;
    wire::log_record Record;
    std::optional<steady_time> FirstSent;
  };
  std::deque<queued_record>::const_iterator find(writer_ticket Ticket) const;
  void finish(log_offset Offset, std::optional<bool> Valid);

  std::string Stream;
  incarnation Writer;
  call_counter &Calls;
  int64_t LastSequence = 0;
  std::deque<queued_record> Queue;
  std::vector<written_record> Written;

  // Of the record at the head of the queue.
  std::optional<call_id> Call;
  steady_time NextSend = steady_time::min();
  int Failures = 0;
};

} // namespace monsoonreel

#endif // MONSOONREEL_RECORD_WRITER_H
