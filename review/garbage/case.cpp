/// \file
/// \brief Rows of another writer among the workers, with wrong types, missing
/// fields and bytes that cannot be read.

#include "World.h"

#include <iostream>
#include <random>

using namespace marjorambend::review;

static Json mutate(Json Row, std::mt19937 &Generator, const Json &Values) {
  for (int Times = 0; Times < 2; ++Times) {
    auto It = Row.begin();
    std::advance(It, Generator() % Row.size());
    const Json &Value = Values[Generator() % Values.size()];
    if (Generator() % 4 == 0)
      Row.erase(It);
    else
      It.value() = Value;
  }
  return Row;
}

int main(int Count, char **Arguments) {
  if (Count != 3)
    return 2;
  World Test(Arguments[1], 2, 4);
  std::mt19937 Generator(static_cast<unsigned>(std::stoul(Arguments[2])));
  const std::string At = Test.workers()[0]->spec().At_.Address_;
  const Json Sound{
      {"service", "banco-prestiti"},
      {"address", At + ":8201"},
      {"zone", "milano"},
      {"version", "1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"sequence", 1},
      {"born", 5},
      {"capacity", {{"cpu", 32000}, {"mem_mb", 65536}, {"gpu", 0}}},
      {"labels", {"a", "r9"}}};
  const Json Values = Json::parse(
      R"([null,true,-1,0,1e308,-9007199254740993,18446744073709551615,"","x",
          "draining","gone",[],{},[[]],{"cpu":"x"},{"cpu":-5,"mem_mb":1e300},
          {"cpu":1e15,"mem_mb":1e15,"gpu":1e15},[1,null,"b"],"127.0.0.1:",
          "127.0.0.1:0",":80","127.0.0.1:99999","\u0000\n\"\\"])");
  std::function<void()> Put = [&] {
    if (Test.record().now() > 25000) {
      int Good = 0;
      for (const auto &[Id, Known] : Test.jobs())
        Good += Known.Status_ == 200;
      int Running = 0;
      for (const auto &One : Test.fleet().instances())
        Running += Test.fleet().isRunning(One.Name_);
      std::cout << "good " << Good << " of " << Test.jobs().size()
                << ", processes " << Running << '\n';
      Test.finish(Running == 6 ? 0 : 1);
      return;
    }
    const std::string Key = "g" + std::to_string(Generator() % 40) +
                            (Generator() % 5 == 0 ? "\r\n\"/" : "");
    Test.store().put("servers", Key, mutate(Sound, Generator, Values));
    if (Generator() % 3 == 0)
      Test.store().put("servers", "h" + std::to_string(Generator() % 10),
                       Values[Generator() % Values.size()]);
    if (Generator() % 5 == 0)
      Test.submit({.Route_ = "avail-check", .Tasks_ = 3}, "edge-torino-1");
    Test.after(10, Put);
  };
  Test.begin(Put);
  return Test.run();
}
