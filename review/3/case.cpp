/// \file
/// \brief The placer is stopped as planned while a job with anti-affinity has
/// tasks that run and tasks that wait.

#include "World.h"

#include <csignal>

using namespace marjorambend::review;

int main(int Count, char **Arguments) {
  if (Count != 3)
    return 2;
  const bool HasTrouble = std::string(Arguments[2]) != "0";
  World Test(Arguments[1], 2, 4);
  Test.begin([&Test, HasTrouble] {
    const std::string Id = Test.submit({.Route_ = "loan-book",
                                        .Tasks_ = 24,
                                        .MilliCores_ = 4'000,
                                        .EstimateMs_ = 1'500,
                                        .WorkMs_ = 1'500,
                                        .MaxPerWorker_ = 1,
                                        .DeadlineMs_ = 10'000},
                                       "edge-torino-1");
    Test.after(700, [&Test, HasTrouble] {
      if (HasTrouble)
        Test.fleet().signal("edge-milano-1", SIGTERM);
    });
    Test.after(9'000, [&Test, Id] {
      const bool HasRun = Test.jobs()[Id].Starts_ > 0;
      Test.finish(HasRun ? 0 : 2);
    });
  });
  return Test.run();
}
