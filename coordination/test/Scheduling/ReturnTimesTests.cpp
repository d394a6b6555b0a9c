#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

#include <algorithm>
#include <marjorambend/Scheduling>
#include <vector>

using namespace marjorambend;
using namespace marjorambend::test;

TEST_GROUP(ReturningCallers) {
  static constexpr int64_t Cores = 100'000; // thousandths
  static constexpr double SlotWork = Cores * 20.0;
  ReturnTimesOptions Options_;
  RetryAfterOptions Bounds_;
  ReturnLedger Ledger_;
  Milliseconds Now_{10'000};

  ReturnTime refuse(double Work, uint32_t Priority = 1,
                    Milliseconds Backlog = {300}) {
    return chooseReturnTime(Ledger_,
                            {.Priority_ = Priority,
                             .Work_ = Work,
                             .Backlog_ = Backlog,
                             .MilliCores_ = Cores},
                            Options_, Bounds_, Now_);
  }
};

// Guards against return times drawn at random, by which the callers that were
// refused first return last.
TEST(ReturningCallers, ReturnInTheOrderOfTheirRefusal) {
  Milliseconds Last;
  for (int Index = 0; Index < 200; ++Index) {
    Now_ = Now_ + Milliseconds{Index % 5};
    const Milliseconds At =
        Now_ + refuse(SlotWork / 2, 1, {300 - Index}).Delay_;
    CHECK(At >= Last);
    Last = At;
  }
}

// Guards against promises of the same capacity to two callers.
TEST(ReturningCallers, AreEachPromisedTheTimeAfterTheWorkBeforeThem) {
  Options_.MaxShare_ = 1.0;
  LONGS_EQUAL(300, refuse(SlotWork * 2).Delay_.Count_);
  LONGS_EQUAL(340, refuse(SlotWork / 2).Delay_.Count_);
  LONGS_EQUAL(350, refuse(SlotWork / 2).Delay_.Count_);
  Now_ = Now_ + Milliseconds{40};
  LONGS_EQUAL(320, refuse(SlotWork * 4).Delay_.Count_);
  LONGS_EQUAL(400, refuse(SlotWork).Delay_.Count_);
}

// Load pattern: random jobs of all classes. No interval is promised twice, and
// the returns without a promise need no more than their part.
TEST(ReturningCallers, ArePromisedNoIntervalTwice) {
  Random Generator(20261206);
  for (int Index = 0; Index < 3'000; ++Index) {
    Now_ =
        Now_ + Milliseconds{static_cast<int64_t>(uniformBelow(Generator, 30))};
    const ReturnTime Got =
        refuse(SlotWork * 6 * uniformUnit(Generator),
               static_cast<uint32_t>(uniformBelow(Generator, 12)));
    CHECK(Got.Delay_ >= Bounds_.MinRetryAfter_);
    CHECK(Got.Delay_ <= Bounds_.MaxRetryAfter_);
    for (const ReturnSlot &Slot : Ledger_.Slots_)
      CHECK(Slot.Promised_ <= SlotWork * 1.000001);
  }
  // Twice the greatest retry time, and a window.
  CHECK(Ledger_.Slots_.size() <= 507);
}

// Load pattern: one class is refused ten times its share. Guards against return
// times of an urgent class that follow those of all others.
TEST(ReturningCallers, OfOneClassDoNotDelayThoseOfAnother) {
  for (int Index = 0; Index < 100; ++Index)
    refuse(SlotWork, 1);
  LONGS_EQUAL(300, refuse(SlotWork, 0).Delay_.Count_);
  DOUBLES_EQUAL(2.0 / 3, returnShare(Ledger_, 0, Cores, Options_, Now_), 0.01);
  DOUBLES_EQUAL(Options_.MaxShare_,
                returnShare(Ledger_, 1, Cores, Options_, Now_), 0.001);
}

// Guards against a ledger that fills up once and never empties.
TEST(ReturningCallers, AreSentAwayForAShortTimeOnceThePromisesHavePassed) {
  for (int Index = 0; Index < 1'000; ++Index)
    refuse(SlotWork);
  LONGS_EQUAL(5'000, refuse(SlotWork).Delay_.Count_);
  CHECK_FALSE(refuse(SlotWork).IsPromised_);
  Now_ = Now_ + Milliseconds{10'000};
  const ReturnTime Later = refuse(SlotWork, 1, {0});
  LONGS_EQUAL(200, Later.Delay_.Count_);
  CHECK(Later.IsPromised_);
}

// Guards against metrics that show promises as kept while work still waits.
TEST(ReturningCallers, FindTheirErrorInTheHistogram) {
  refuse(SlotWork);
  expireReturns(Ledger_, {0}, Options_, Now_ + Milliseconds{320});
  LONGS_EQUAL(1, Ledger_.Errors_.Count_);
  LONGS_EQUAL(0, Ledger_.Errors_.Sum_);
  Now_ = Now_ + Milliseconds{400};
  refuse(SlotWork);
  expireReturns(Ledger_, {70}, Options_, Now_ + Milliseconds{320});
  LONGS_EQUAL(2, Ledger_.Errors_.Count_);
  LONGS_EQUAL(90, Ledger_.Errors_.Sum_);
}

TEST_GROUP(ABurstOfTwoAndAHalfTimesTheCapacity) {
  // 350 workers of 80 cores on average.
  static constexpr int64_t Cores = 350 * 80'000;
  static constexpr int64_t Tick = 20;
  static constexpr double TickWork = Cores * static_cast<double>(Tick);
  static constexpr int64_t BurstTicks = 12'000 / Tick;
  static constexpr double Burst = 2.6;
  static constexpr double Calm = 0.6;
  // Work that waits in an instance at most, as time of the capacity; longer
  // waits make a job of the shortest route late.
  static constexpr double MaxBacklog = 60;
  // Bounds that the specification states.
  static constexpr double MaxReturning = 1.5;
  // One slot.
  static constexpr double MaxError = 20;

  struct Kind {
    double Share_; // of the work that callers send
    double Work_;  // of a job on average
  };
  // The routes of the first deployment: jobs/s, tasks and ms per task.
  static constexpr Kind Kinds[] = {{0.209, 8 * 60 * 32'000.0},
                                   {0.506, 2 * 200 * 32'000.0},
                                   {0.285, 4 * 900 * 32'000.0}};

  struct Caller {
    uint32_t Priority_;
    double Work_;
    bool HasReturned_;
  };

  ReturnTimesOptions Options_;
  RetryAfterOptions Bounds_;
  ReturnLedger Ledger_;
  Random Generator_{20261206};
  std::vector<std::vector<Caller>> Returning_ =
      std::vector<std::vector<Caller>>(2'000);
  std::vector<double> ReturnedWork_ = std::vector<double>(2'000);
  std::array<double, 3> Owed_{};
  std::array<double, 3> Admitted_{};
  std::multimap<Milliseconds, double> Promised_; // work by its return
  double Waiting_ = 0;

  std::vector<Caller> arrivals(int64_t At) {
    std::vector<Caller> All = Returning_[static_cast<std::size_t>(At)];
    for (const Caller &One : All)
      ReturnedWork_[static_cast<std::size_t>(At)] += One.Work_;
    const double Load = At < BurstTicks ? Burst : Calm;
    for (uint32_t Priority = 0; Priority < Owed_.size(); ++Priority) {
      Owed_[Priority] += Load * Kinds[Priority].Share_ * TickWork;
      while (Owed_[Priority] > 0) {
        const double Work =
            Kinds[Priority].Work_ * (0.5 + uniformUnit(Generator_));
        Owed_[Priority] -= Work;
        All.push_back({Priority, Work, false});
      }
    }
    // The placer does not know which callers return.
    for (std::size_t Index = All.size(); Index > 1; --Index)
      std::swap(All[Index - 1], All[uniformBelow(Generator_, Index)]);
    return All;
  }

  Milliseconds delayOf(const Caller &Refused, Milliseconds Now, bool IsOff) {
    const Milliseconds Backlog{static_cast<int64_t>(Waiting_ / Cores)};
    const ReturnTime Chosen =
        IsOff
            ? ReturnTime{retryAfter(Backlog, uniformUnit(Generator_), Bounds_),
                         true}
            : chooseReturnTime(Ledger_,
                               {.Priority_ = Refused.Priority_,
                                .Work_ = Refused.Work_,
                                .Backlog_ = Backlog,
                                .MilliCores_ = Cores},
                               Options_, Bounds_, Now);
    if (Chosen.IsPromised_)
      Promised_.emplace(Now + Chosen.Delay_, Refused.Work_);
    return Chosen.Delay_;
  }

  // The longest time from a promised return until the capacity has done the
  // work promised before it.
  double greatestError() const {
    double Error = 0;
    double DoneAt = 0;
    for (const auto &[At, Work] : Promised_) {
      const auto Start = static_cast<double>(At.Count_);
      Error = std::max(Error, DoneAt - Start);
      DoneAt = std::max(DoneAt, Start) + Work / Cores;
    }
    return Error;
  }

  // Serves the classes by weighted fair shares, as the placer does by least
  // cost. Returns the jobs that do not fit.
  std::vector<Caller> admit(const std::vector<Caller> &Arrived) {
    std::array<std::vector<Caller>, 3> ByClass;
    for (const Caller &One : Arrived)
      ByClass[One.Priority_].push_back(One);
    std::array<std::size_t, 3> Next{};
    for (double &Work : Admitted_)
      Work *= 0.99; // a window of 2 s
    while (Waiting_ < MaxBacklog * Cores) {
      std::size_t Chosen = ByClass.size();
      for (std::size_t Class = 0; Class < ByClass.size(); ++Class) {
        if (Next[Class] < ByClass[Class].size() &&
            (Chosen == ByClass.size() || usage(Class) < usage(Chosen)))
          Chosen = Class;
      }
      if (Chosen == ByClass.size())
        return {};
      const double Work = ByClass[Chosen][Next[Chosen]++].Work_;
      Admitted_[Chosen] += Work;
      Waiting_ += Work;
    }
    std::vector<Caller> Refused;
    for (std::size_t Class = 0; Class < ByClass.size(); ++Class)
      Refused.insert(Refused.end(),
                     ByClass[Class].begin() +
                         static_cast<std::ptrdiff_t>(Next[Class]),
                     ByClass[Class].end());
    return Refused;
  }

  double usage(std::size_t Class) const {
    return Admitted_[Class] / (Class == 0 ? Options_.FirstClassWeight_ : 1.0);
  }

  void replay(bool IsOff) {
    for (int64_t At = 0; At < 1'500; ++At) {
      const Milliseconds Now{10'000 + At * Tick};
      Waiting_ = std::max(0.0, Waiting_ - TickWork);
      expireReturns(Ledger_, {static_cast<int64_t>(Waiting_ / Cores)}, Options_,
                    Now);
      for (Caller &One : admit(arrivals(At))) {
        if (One.HasReturned_)
          continue;
        const Milliseconds Delay = delayOf(One, Now, IsOff);
        One.HasReturned_ = true;
        Returning_[static_cast<std::size_t>(At + Delay.Count_ / Tick)]
            .push_back(One);
      }
    }
  }

  // The greatest work that returns within 100 ms, as a multiple of the
  // capacity.
  double greatestReturn() const {
    constexpr std::size_t Width = 100 / Tick;
    double Greatest = 0;
    for (std::size_t At = 0; At + Width <= ReturnedWork_.size(); ++At) {
      double Sum = 0;
      for (std::size_t Index = At; Index < At + Width; ++Index)
        Sum += ReturnedWork_[Index];
      Greatest = std::max(Greatest, Sum / (TickWork * Width));
    }
    return Greatest;
  }
};

// Guards against a second burst when the refused callers return, each once.
TEST(ABurstOfTwoAndAHalfTimesTheCapacity, DoesNotReturnAsABurst) {
  replay(false);
  std::cout << "greatest return in 100 ms, in capacities: " << greatestReturn()
            << std::endl;
  CHECK(greatestReturn() <= MaxReturning);
}

// Guards against promises of the same capacity to several callers.
TEST(ABurstOfTwoAndAHalfTimesTheCapacity, FindsCapacityAtThePromisedTimes) {
  replay(false);
  std::cout << "promises " << Promised_.size() << ", greatest error "
            << greatestError() << " ms" << std::endl;
  CHECK(Promised_.size() > 1'000);
  LONGS_EQUAL(Promised_.size(), Ledger_.Errors_.Count_);
  CHECK(greatestError() <= MaxError);
}

// Shows that the replay detects the previous rule.
TEST(ABurstOfTwoAndAHalfTimesTheCapacity, ReturnsAsABurstByTheBacklogAlone) {
  replay(true);
  std::cout << "by the backlog alone: " << greatestReturn() << ", "
            << greatestError() << " ms" << std::endl;
  CHECK(greatestReturn() > MaxReturning);
  CHECK(greatestError() > MaxError);
}

TEST_GROUP(ARefusalByLeastCost) {
  InstanceFixture Instance_;

  // Returns the retry times of jobs that wait behind a full worker.
  std::vector<int64_t> refuseJobs(AdmissionPolicy Policy, int64_t PlacerFor) {
    Instance_.State_.Options_.Placer_.Overload_.Policy_ = Policy;
    Instance_.openWorker();
    Instance_.advance(PlacerFor);
    for (uint64_t Id = 1; Id <= 30; ++Id)
      Instance_.handle(Instance_.job(Id, Id, 2));
    std::vector<int64_t> Delays;
    for (const AnswerJob &One :
         actionsOf<AnswerJob>(Instance_.advance(2'000))) {
      if (One.Outcome_ == JobOutcome::NotRun)
        Delays.push_back(One.RetryAfter_.Count_);
    }
    return Delays;
  }
  uint64_t counted(Counter Which) const {
    return Instance_.State_.Counters_.Values_[static_cast<std::size_t>(Which)];
  }
};

// Guards against a placer that does not use the ledger.
TEST(ARefusalByLeastCost, PromisesATimeAfterThoseRefusedBefore) {
  const auto Delays = refuseJobs(AdmissionPolicy::LeastCost, 6'000);
  CHECK(Delays.size() > 5);
  const uint64_t Promised = counted(Counter::ReturnsPromised);
  CHECK(Promised > 0);
  LONGS_EQUAL(Delays.size(), Promised + counted(Counter::ReturnsUnpromised));
  Instance_.advance(6'000);
  LONGS_EQUAL(Promised, Instance_.State_.Placing_.Returns_.Errors_.Count_);
}

// Guards against a ledger that overrides the previous rule without the policy.
TEST(ARefusalByLeastCost, IsOffByDefault) {
  CHECK(refuseJobs(AdmissionPolicy::LatestStart, 6'000).size() > 5);
  LONGS_EQUAL(0, counted(Counter::ReturnsPromised) +
                     counted(Counter::ReturnsUnpromised));
}

// Load pattern: the placer changes during a burst. Guards against promises of
// capacity that its predecessor has promised.
TEST(ARefusalByLeastCost, IsByTheBacklogAloneJustAfterAChangeOfThePlacer) {
  CHECK(refuseJobs(AdmissionPolicy::LeastCost, 1'000).size() > 5);
  LONGS_EQUAL(0, counted(Counter::ReturnsPromised));
  ReturnLedger &Ledger = Instance_.State_.Placing_.Returns_;
  followPlacer(Ledger, false, Instance_.Now_);
  CHECK_FALSE(Ledger.PlacingSince_);
}
