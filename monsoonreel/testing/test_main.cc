// The test program's entry point. A broken invariant aborts the program.

#include <gtest/gtest.h>

#include "monsoonreel/invariant.h"

int main(int Argc, char **Argv) {
  ::testing::InitGoogleTest(&Argc, Argv);
  monsoonreel::abortOnBreach(true);
  return RUN_ALL_TESTS();
}
