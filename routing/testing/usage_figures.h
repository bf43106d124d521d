// Figures of a usage window, for tests.

#ifndef ROUTING_TESTING_USAGE_FIGURES_H
#define ROUTING_TESTING_USAGE_FIGURES_H

#include <cstdint>

#include "monsoonreel/wire.h"

namespace monsoonreel {

// Figures with one organisation.
inline wire::window_counts figures(int64_t Window, int64_t Requests) {
  wire::organisation_count Count;
  Count.Organisation = "kitchen";
  Count.Requests = Requests;
  wire::window_counts Figures;
  Figures.Window = Window;
  Figures.Counts = {Count};
  return Figures;
}

} // namespace monsoonreel

#endif // ROUTING_TESTING_USAGE_FIGURES_H
