// The test program's entry point; breaches are findings here.

#include <gtest/gtest.h>

int main(int Argc, char **Argv) {
  ::testing::InitGoogleTest(&Argc, Argv);
  return RUN_ALL_TESTS();
}
