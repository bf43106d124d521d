#include "routing/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace monsoonreel {

namespace {

// Returns the end of the first event in Bytes, after its blank line, or npos.
size_t eventEnd(std::string_view Bytes) {
  size_t Bare = Bytes.find("\n\n");
  size_t Full = Bytes.find("\r\n\r\n");
  size_t BareEnd = Bare == std::string_view::npos ? Bare : Bare + 2;
  size_t FullEnd = Full == std::string_view::npos ? Full : Full + 4;
  return std::min(BareEnd, FullEnd);
}

// Removes the first line from Event, and returns it without its end.
std::string_view takeLine(std::string_view &Event) {
  size_t End = std::min(Event.find('\n'), Event.size());
  std::string_view Line = Event.substr(0, End);
  Event.remove_prefix(std::min(End + 1, Event.size()));
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

std::optional<int64_t> idOf(std::string_view Event) {
  while (!Event.empty()) {
    std::string_view Line = takeLine(Event);
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    int64_t Id = 0;
    if (std::from_chars(Line.data(), Line.data() + Line.size(), Id).ec ==
        std::errc())
      return Id;
  }
  return std::nullopt;
}

// Returns whether an event has only comments and reconnection times.
bool isWithoutContent(std::string_view Event) {
  while (!Event.empty()) {
    std::string_view Line = takeLine(Event);
    if (!Line.empty() && !Line.starts_with(':') && !Line.starts_with("retry:"))
      return false;
  }
  return true;
}

} // namespace

bool event_splitter::acceptEvent(std::string_view Event) {
  std::optional<int64_t> Id = idOf(Event);
  if (!Id && LastId && !isWithoutContent(Event))
    Gap = true;
  if (Id && LastId && *Id <= *LastId)
    return false;
  if (Id && LastId && *Id > *LastId + 1)
    Gap = true;
  if (Id)
    LastId = Id;
  ++Taken;
  return !Gap;
}

std::string event_splitter::takeCompleteEvents() {
  std::string Whole;
  size_t Start = 0;
  while (!Gap) {
    std::string_view Rest = std::string_view(Pending).substr(Start);
    size_t Size = eventEnd(Rest);
    if (Size == std::string_view::npos)
      break;
    if (acceptEvent(Rest.substr(0, Size)))
      Whole += Rest.substr(0, Size);
    Start += Size;
  }
  Pending.erase(0, Start);
  return Whole;
}

void event_splitter::expectNextRun() { Pending.clear(); }

} // namespace monsoonreel
