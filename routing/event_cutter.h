// Cuts a stream of server-sent events at the events' ends.
//
//   event_cutter Cutter;
//   Cutter.add(Bytes);
//   std::string Whole = Cutter.takeWhole();
//   ... Cutter.lastId() ...
//
// Only whole events leave, so an answer that breaks off can go on at another
// upstream after the last one. After `expectAfter`, events that the caller has
// already are dropped, and a first event that does not follow is a gap.

#ifndef ROUTING_EVENT_CUTTER_H
#define ROUTING_EVENT_CUTTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonreel {

// The largest single event; a longer one breaks its stream off.
constexpr size_t max_cut_event_bytes = size_t{1} << 20;

class event_cutter {
public:
  void add(std::string_view Bytes) { Pending += Bytes; }
  // All whole events that are to be passed on.
  std::string takeWhole();

  // The stream goes on at another upstream: the rest of a broken event is
  // dropped, and the next event has to follow the last one.
  void expectNextRun();

  // The id of the last event that was taken; unset before the first one.
  std::optional<int64_t> lastId() const { return LastId; }
  int64_t taken() const { return Taken; }
  bool hasGap() const { return Gap; }
  bool isOversized() const { return Pending.size() > max_cut_event_bytes; }
  // A part of an event is left over.
  bool hasRest() const { return !Pending.empty(); }

private:
  bool takeOne(std::string_view Event);

  std::string Pending;
  std::optional<int64_t> LastId;
  int64_t Taken = 0;
  bool Gap = false;
};

} // namespace monsoonreel

#endif // ROUTING_EVENT_CUTTER_H
