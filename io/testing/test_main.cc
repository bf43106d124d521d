#include <QCoreApplication>

#include <gtest/gtest.h>

#include "monsoonreel/invariant.h"

int main(int Argc, char **Argv) {
  QCoreApplication Application(Argc, Argv);
  testing::InitGoogleTest(&Argc, Argv);
  monsoonreel::abortOnBreach(true);
  return RUN_ALL_TESTS();
}
