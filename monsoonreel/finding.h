// Validation errors of an input, each with its location.
//
//   finding_list Findings;
//   Findings.add({"site.yaml", 12, 3, "classes.chat.tier"}, "must be 0 to 3");
//   if (!Findings.empty())
//     std::cerr << Findings.toString();
//
// Validation continues after the first finding, so that all findings are
// reported together.

#ifndef MONSOONREEL_FINDING_H
#define MONSOONREEL_FINDING_H

#include <string>
#include <vector>

namespace monsoonreel {

// The location of a finding in an input. Line and column start at 1; 0 means
// unknown. Path is the dotted path of the value, such as "classes.chat.tier".
struct input_place {
  std::string File;
  int Line = 0;
  int Column = 0;
  std::string Path;
};

struct finding {
  input_place Place;
  std::string Message;
};

class finding_list {
public:
  void add(input_place Place, std::string Message);
  bool empty() const { return Findings.empty(); }
  size_t size() const { return Findings.size(); }
  const std::vector<finding> &all() const { return Findings; }
  // One line for each finding: "file:line:column: path: message". Unknown
  // parts are left out.
  std::string toString() const;

private:
  std::vector<finding> Findings;
};

} // namespace monsoonreel

#endif // MONSOONREEL_FINDING_H
