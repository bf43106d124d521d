#include "routing/median_clock.h"

#include <algorithm>
#include <vector>

namespace monsoonreel {

void median_clock::onOwn(steady_time Now, wall_time Wall) {
  Own = {Wall.time_since_epoch() - Now.time_since_epoch(), Now};
  update(Now);
}

void median_clock::onPeer(const address &From, steady_time Now,
                          wall_time Wall) {
  Peers[From] = {Wall.time_since_epoch() - Now.time_since_epoch(), Now};
}

void median_clock::update(steady_time Now) {
  absl::erase_if(Peers, [&](const auto &Peer) {
    return Now - Peer.second.TakenAt > max_clock_reading_age;
  });
  std::vector<duration> Offsets = {Own.Offset};
  for (const auto &[From, Reading] : Peers)
    Offsets.push_back(Reading.Offset);
  // Of an even number of clocks the lower median is used: with two clocks it is
  // unknown which one is right.
  auto Middle =
      Offsets.begin() + static_cast<std::ptrdiff_t>((Offsets.size() - 1) / 2);
  std::nth_element(Offsets.begin(), Middle, Offsets.end());
  Offset = *Middle;
}

wall_time median_clock::at(steady_time Now) const {
  return wall_time(Now.time_since_epoch() + Offset);
}

} // namespace monsoonreel
