// HTTP calls that wait for their answer.

#ifndef CLI_BLOCKING_CALL_H
#define CLI_BLOCKING_CALL_H

#include <vector>

#include "io/http_call.h"

namespace monsoonreel::cli {

http_result callAndWait(const http_call &Call);

// All calls at once; the results in the order of the calls.
std::vector<http_result> callAllAndWait(const std::vector<http_call> &Calls);

// Lets time pass between two tries.
void pause(duration Time);

} // namespace monsoonreel::cli

#endif // CLI_BLOCKING_CALL_H
