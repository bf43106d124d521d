// Messages of peers, as an entry and a steward take them.
//
//   for (const std::string &Sample : peerSamples())
//     sendToEntry(Sample);
//
// An input is a row of frames, each behind its length in two bytes. A node that
// is sent one of these has a configuration and has run a few requests.

#ifndef FUZZ_PEER_TARGET_H
#define FUZZ_PEER_TARGET_H

#include <string>
#include <vector>

namespace monsoonreel::fuzz {

// One encoded message of each kind, and some with their fields filled.
std::vector<std::string> messageSamples();
// Rows of frames of such messages.
std::vector<std::string> peerSamples();

// Return whether every frame held a message.
bool sendToEntry(const std::string &Input);
bool sendToSteward(const std::string &Input);

} // namespace monsoonreel::fuzz

#endif // FUZZ_PEER_TARGET_H
