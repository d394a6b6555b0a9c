/// \file
/// \brief Random disruptions of a small deployment, by a seed.

#include "World.h"

#include <csignal>
#include <iostream>
#include <random>

using namespace marjorambend::review;

namespace {

struct Chaos {
  World &Test_;
  std::mt19937 Generator_;
  std::string Kinds_;
  int64_t EndAt_ = 0;
  std::set<std::string> Busy_;
  std::vector<std::string> Calm_; ///< Jobs of the last 8 s.
  std::map<std::string, int64_t> DrainedAt_;

  int64_t between(int64_t Low, int64_t High) {
    return std::uniform_int_distribution<int64_t>(Low, High)(Generator_);
  }
  std::string pick() {
    const auto &All = Test_.fleet().instances();
    return All[static_cast<std::size_t>(
                   between(0, static_cast<int64_t>(All.size()) - 1))]
        .Name_;
  }

  void submit() {
    if (Test_.record().now() > EndAt_)
      return;
    const int64_t Kind = between(0, 9);
    ClientJob Job;
    if (Kind < 5)
      Job = {.Route_ = "avail-check",
             .Tasks_ = 8,
             .MilliCores_ = 3000,
             .EstimateMs_ = 60,
             .WorkMs_ = between(30, 120)};
    else if (Kind < 8)
      Job = {.Route_ = "fit-hold",
             .Tasks_ = 2,
             .MilliCores_ = 3000,
             .EstimateMs_ = 200,
             .WorkMs_ = between(100, 400)};
    else
      Job = {.Route_ = "loan-book",
             .Tasks_ = 4,
             .MilliCores_ = 3000,
             .EstimateMs_ = 2000,
             .WorkMs_ = between(1000, 5000),
             .DeadlineMs_ = 12000};
    // With the letter A jobs have anti-affinity.
    Job.MaxPerWorker_ = Kinds_.find('A') == std::string::npos ? 0 : 1;
    std::string At = pick();
    for (int Tries = 0; Tries < 10 && !Test_.fleet().isRunning(At); ++Tries)
      At = pick();
    const std::string Id = Test_.submit(Job, At);
    if (Test_.record().now() > EndAt_ - 8000)
      Calm_.push_back(Id);
    Test_.after(between(20, 120), [this] { submit(); });
  }

  void disturb() {
    // The last 20 s are calm.
    if (Test_.record().now() > EndAt_ - 20000)
      return;
    const char Kind = Kinds_[static_cast<std::size_t>(
        between(0, static_cast<int64_t>(Kinds_.size()) - 1))];
    const std::string At = pick();
    const bool IsFree = !Busy_.contains(At) && Test_.fleet().isRunning(At);
    if (Kind == 'f' && IsFree)
      freeze(At, between(100, 3000));
    if (Kind == 's' && IsFree)
      freeze(At, between(300, 900));
    if (Kind == 'k' && IsFree) {
      Busy_.insert(At);
      Test_.fleet().kill(At);
      Test_.after(between(300, 3000), [this, At] { restart(At); });
    }
    if (Kind == 't' && IsFree) {
      Busy_.insert(At);
      Test_.fleet().signal(At, SIGTERM);
      awaitEnd(At);
    }
    if (Kind == 'w') {
      auto &All = Test_.workers();
      Worker &One = *All[static_cast<std::size_t>(
          between(0, static_cast<int64_t>(All.size()) - 1))];
      if (One.isUp()) {
        Test_.record().write(One.spec().Id_ + " crashes");
        One.crash();
        Test_.after(between(50, 3000), [this, &One] {
          if (One.isUp() || DrainedAt_.contains(One.spec().Id_))
            return;
          Test_.record().write(One.spec().Id_ + " boots");
          One.boot();
        });
      }
    }
    if (Kind == 'p' || Kind == 'P') {
      Test_.store().Mode_ =
          Kind == 'p' ? Store::Mode::Silent : Store::Mode::Busy;
      Test_.record().write("store down");
      Test_.after(between(500, 5000), [this] {
        Test_.store().Mode_ = Store::Mode::Sound;
        Test_.record().write("store up");
      });
    }
    if (Kind == 'q') {
      Test_.store().LateShare_ = 0.35;
      Test_.after(4500, [this] { Test_.store().LateShare_ = 0; });
    }
    if (Kind == 'd') {
      auto &All = Test_.workers();
      Worker &One = *All[static_cast<std::size_t>(
          between(0, static_cast<int64_t>(All.size()) - 1))];
      if (One.isUp() && !DrainedAt_.contains(One.spec().Id_)) {
        Test_.record().write(One.spec().Id_ + " drains");
        One.drain();
        DrainedAt_[One.spec().Id_] = Test_.record().now();
        Test_.after(between(3000, 6000), [this, &One] { leave(One); });
      }
    }
    if (Kind == 'l') {
      Worker &One = *Test_.workers()[static_cast<std::size_t>(between(0, 11))];
      One.LateShare_ = 0.3;
      Test_.after(4000, [&One] { One.LateShare_ = 0; });
    }
    Test_.after(between(150, 2000), [this] { disturb(); });
  }
  // A drained worker leaves; a while later it starts again.
  void leave(Worker &One) {
    if (One.isUp())
      One.crash();
    Test_.after(2000, [this, &One] {
      DrainedAt_.erase(One.spec().Id_);
      if (!One.isUp())
        One.boot();
    });
  }
  // `drain_ms`
  void checkDrain(const Worker &At, const WorkerRun &Run) {
    const auto Since = DrainedAt_.find(At.spec().Id_);
    if (Since != DrainedAt_.end() &&
        Test_.record().now() > Since->second + 2000)
      Test_.breach("DRAIN",
                   Run.Task_ + " starts on " + At.spec().Id_ + ", " +
                       std::to_string(Test_.record().now() - Since->second) +
                       " ms after it began to drain");
  }
  void freeze(const std::string &At, int64_t Ms) {
    Busy_.insert(At);
    Test_.fleet().signal(At, SIGSTOP);
    Test_.after(Ms, [this, At] {
      Test_.fleet().signal(At, SIGCONT);
      Busy_.erase(At);
    });
  }
  void awaitEnd(const std::string &At) {
    if (!Test_.fleet().isRunning(At)) {
      restart(At);
      return;
    }
    Test_.after(50, [this, At] { awaitEnd(At); });
  }
  void restart(const std::string &At) {
    Test_.fleet().start(At, false);
    Busy_.erase(At);
  }
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 5)
    return 2;
  const int PerZone = Count > 5 ? std::stoi(Arguments[5]) : 2;
  World Test(Arguments[1], PerZone, 4);
  Chaos All{Test, std::mt19937(static_cast<unsigned>(std::stoul(Arguments[2]))),
            Arguments[3], std::stoll(Arguments[4]) * 1000};
  Test.OnStart_ = [&All](const Worker &At, const WorkerRun &Run) {
    All.checkDrain(At, Run);
  };
  Test.begin([&] {
    All.submit();
    All.submit();
    All.disturb();
    Test.after(All.EndAt_ + 20000 - Test.record().now(), [&] {
      int Open = 0;
      int Good = 0;
      int Lost = 0;
      int Refused = 0;
      for (const auto &[Id, Known] : Test.jobs()) {
        Open += !Known.Status_;
        Good += Known.Status_ == 200;
        Lost += Known.Status_ == 504 || Known.Status_ == 0;
        Refused += Known.Status_ == 503;
        if (!Known.Status_)
          Test.breach("OPEN", Id);
      }
      for (const auto &One : Test.fleet().instances())
        if (!Test.fleet().isRunning(One.Name_))
          Test.breach("ENDED", One.Name_);
      int CalmGood = 0;
      for (const std::string &Id : All.Calm_)
        CalmGood += Test.jobs()[Id].Status_ == 200;
      std::cout << "calm " << CalmGood << " of " << All.Calm_.size() << "; ";
      std::cout << "jobs " << Test.jobs().size() << " good " << Good << " lost "
                << Lost << " refused " << Refused << " open " << Open
                << " breaches " << Test.breaches() << '\n';
      Test.finish(0);
    });
  });
  return Test.run();
}
