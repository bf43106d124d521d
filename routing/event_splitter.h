// Splits a stream of server-sent events into complete events.
//
//   event_splitter Splitter;
//   Splitter.add(Bytes);
//   std::string Whole = Splitter.takeCompleteEvents();
//   ... Splitter.lastId() ...
//
// Only complete events are passed on, so that a broken answer can be resumed at
// another upstream after the last complete event. After `expectNextRun`, events
// that the caller has already received are dropped, and a gap is reported if
// the first new event does not follow the last one.

#ifndef ROUTING_EVENT_SPLITTER_H
#define ROUTING_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonreel {

// Largest size of a single event; a longer one ends its stream.
constexpr size_t max_stream_event_bytes = size_t{1} << 20;

class event_splitter {
public:
  void add(std::string_view Bytes) { Pending += Bytes; }
  // Returns all complete events that have to be passed on.
  std::string takeCompleteEvents();

  // Prepares for the continuation of the stream at another upstream: drops the
  // rest of an incomplete event. The next new event has to follow the last one.
  void expectNextRun();

  // Id of the last complete event; unset before the first one.
  std::optional<int64_t> lastId() const { return LastId; }
  int64_t taken() const { return Taken; }
  bool hasGap() const { return Gap; }
  bool isOversized() const { return Pending.size() > max_stream_event_bytes; }
  // Whether the input ends with an incomplete event.
  bool hasPartialEvent() const { return !Pending.empty(); }

private:
  bool acceptEvent(std::string_view Event);

  std::string Pending;
  std::optional<int64_t> LastId;
  int64_t Taken = 0;
  bool Gap = false;
};

} // namespace monsoonreel

#endif // ROUTING_EVENT_SPLITTER_H
