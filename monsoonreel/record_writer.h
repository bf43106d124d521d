// Appends records to one stream, and resends each until it is read back.
//
//   record_writer Writer(std::string(usage_stream), Self.Incarnation, Calls);
//   std::optional<writer_ticket> Ticket = Writer.enqueue(std::move(Record));
//   Writer.onTick(Now, Effects);                  // sends and resends
//   Writer.onReplayed(Offset, Record, Valid);     // from the stream's replay
//   for (const written_record &Done : Writer.takeWritten()) ...
//
// An append whose answer is lost may still have taken effect, so the same
// record, with the same (incarnation, sequence), is resent until it appears in
// the replay. The replay counts it once.
//
// Ordering: one record is in flight at a time, and the next one is sent only
// after the first has appeared in the replay. So the records of a writer are in
// the log in the order of their sequence, and a late copy of a record always
// comes after the original or a newer record of the same writer and is ignored.
// Throughput comes from records that hold many batches.
//
// After the platform has confirmed an append, the record is not resent before
// `read_back_timeout`, because it is expected to appear in the replay soon.

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
// The largest record. Leaves space in a frame for the platform's own framing.
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

// Identifies a queued record by its sequence.
using writer_ticket = strong_id<struct writer_ticket_tag>;

// A record that has appeared in the replay.
struct written_record {
  writer_ticket Ticket;
  log_offset Offset;
  // Whether the record was valid; empty if a restored snapshot covers it. A
  // void record is not resent.
  std::optional<bool> Valid;
};

class record_writer {
public:
  record_writer(std::string Stream, incarnation Writer, call_counter &Calls);

  // Queues a record and returns its ticket. Returns nothing if the queue is
  // full or the record is larger than max_record_bytes. Sets the record's
  // incarnation and sequence.
  std::optional<writer_ticket> enqueue(wire::log_record Record);

  // Removes a record that has not been sent yet from the queue. Returns false
  // if the record may already be in the log.
  bool cancel(writer_ticket Ticket);

  void onTick(steady_time Now, effect_list &Effects);
  void onAppendAnswered(const append_answered &Answer, steady_time Now);
  void onAppendFailed(const append_failed &Failure, steady_time Now,
                      uint64_t Random);
  // Call this for every record of the stream that is replayed.
  void onReplayed(log_offset Offset, const wire::log_record &Record,
                  bool Valid);
  // Call this after a snapshot was restored, which may cover the record in
  // flight. Takes the offset and sequence of this writer's last record in the
  // snapshot.
  void onRestored(log_offset WriterOffset, int64_t WriterSequence);

  // Whether the record is still queued because it has not appeared in the
  // replay.
  bool isQueued(writer_ticket Ticket) const;

  // Returns the records that have appeared in the replay since the last call.
  std::vector<written_record> takeWritten();

  // When the record was first sent. Empty before that, and once the record has
  // appeared in the replay.
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

  // These refer to the record at the head of the queue.
  std::optional<call_id> Call;
  steady_time NextSend = steady_time::min();
  int Failures = 0;
};

} // namespace monsoonreel

#endif // MONSOONREEL_RECORD_WRITER_H
