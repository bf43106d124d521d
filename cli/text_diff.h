// The difference between two texts, line by line.

#ifndef CLI_TEXT_DIFF_H
#define CLI_TEXT_DIFF_H

#include <string>

namespace monsoonreel::cli {

// Lines of Old alone start with "-", lines of New alone with "+", and lines
// of both with a space. Empty when the texts are equal.
std::string diffLines(const std::string &Old, const std::string &New);

} // namespace monsoonreel::cli

#endif // CLI_TEXT_DIFF_H
