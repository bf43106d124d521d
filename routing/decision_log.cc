#include "routing/decision_log.h"

#include <algorithm>

namespace monsoonreel {

namespace {

// Longer values are truncated to bound the length of a line.
constexpr size_t max_value_bytes = 200;

bool needsQuotes(std::string_view Value) {
  return Value.empty() || std::any_of(Value.begin(), Value.end(), [](char C) {
           return static_cast<unsigned char>(C) <= ' ' || C == '"' ||
                  C == '=' || C == 0x7f;
         });
}

void appendQuoted(std::string_view Value, std::string &Text) {
  Text += '"';
  for (char C : Value) {
    bool Control = static_cast<unsigned char>(C) < ' ' || C == 0x7f;
    if (C == '"' || C == '\\')
      Text += '\\';
    Text += Control ? '?' : C;
  }
  Text += '"';
}

} // namespace

decision::decision(std::string_view What) : Text("event=") { Text += What; }

decision &decision::add(std::string_view Key, std::string_view Value) {
  Value = Value.substr(0, max_value_bytes);
  Text += ' ';
  Text += Key;
  Text += '=';
  if (needsQuotes(Value))
    appendQuoted(Value, Text);
  else
    Text += Value;
  return *this;
}

decision &decision::add(std::string_view Key, int64_t Value) {
  return add(Key, std::string_view(std::to_string(Value)));
}

decision &decision::add(std::string_view Key, duration Value) {
  using std::chrono::milliseconds;
  std::string Name(Key);
  return add(Name + "_ms",
             std::chrono::duration_cast<milliseconds>(Value).count());
}

} // namespace monsoonreel
