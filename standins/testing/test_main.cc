// The test program's entry point: sockets need a running application.

#include <QCoreApplication>
#include <gtest/gtest.h>

int main(int Argc, char **Argv) {
  ::testing::InitGoogleTest(&Argc, Argv);
  QCoreApplication App(Argc, Argv);
  return RUN_ALL_TESTS();
}
