// Server-sent events cut out of a byte stream.
//
//   event_stream Stream;
//   Stream.add(Bytes);
//   std::string Whole = Stream.takeEvents(Tokens);
//
// Only whole events leave, so that a stream that breaks off can be continued
// at an event's border.

#ifndef IO_EVENT_STREAM_H
#define IO_EVENT_STREAM_H

#include <cstddef>
#include <string>
#include <string_view>

namespace monsoonreel {

// The largest single event; a longer one ends its stream.
constexpr size_t max_event_bytes = size_t{1} << 20;

class event_stream {
public:
  void add(std::string_view Bytes) { Pending += Bytes; }
  // Returns all whole events and adds the number of their tokens to Tokens.
  std::string takeEvents(int &Tokens);
  // The event that marks the proper end of an answer came.
  bool isDone() const { return Done; }
  bool isOversized() const { return Pending.size() > max_event_bytes; }

private:
  int tokensOf(std::string_view Event);

  std::string Pending;
  bool Done = false;
};

// Output tokens that a whole answer states in its usage object, or 0.
int completionTokens(std::string_view Json);

} // namespace monsoonreel

#endif // IO_EVENT_STREAM_H
