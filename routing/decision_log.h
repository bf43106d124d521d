// Builds the text of a structured log line.
//
//   Effects.push_back(decision("dispatched")
//                         .add("request", CallerId)
//                         .add("registry_age", Age)
//                         .line(log_level::Info));
//
// Fields have the form key=value. Values with spaces or quotes are quoted.
// Durations are in milliseconds, and "_ms" is appended to their key.

#ifndef ROUTING_DECISION_LOG_H
#define ROUTING_DECISION_LOG_H

#include <string>
#include <string_view>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

class decision {
public:
  explicit decision(std::string_view What);

  decision &add(std::string_view Key, std::string_view Value);
  decision &add(std::string_view Key, const char *Value) {
    return add(Key, std::string_view(Value));
  }
  decision &add(std::string_view Key, int64_t Value);
  decision &add(std::string_view Key, duration Value);
  template <typename Tag>
  decision &add(std::string_view Key, const strong_name<Tag> &Name) {
    return add(Key, std::string_view(Name.Value));
  }
  log_line line(log_level Level) { return {Level, std::move(Text)}; }

private:
  std::string Text;
};

} // namespace monsoonreel

#endif // ROUTING_DECISION_LOG_H
