/// \file
/// \brief The operators' tool: command line, environment, exit code.

#include "Commands.h"
#include "Explain.h"
#include "Losses.h"
#include "Top.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(instance, "127.0.0.1:8081",
              "operators' listener of an instance, IP:PORT");
DEFINE_bool(json, false, "print JSON for scripts");
DEFINE_int64(expect, -1, "with apply: the version that was edited");
DEFINE_int64(wait_ms, 9000, "how long apply and wait-ready wait");
DEFINE_int64(window_ms, 2000, "with losses: length of a window of time");
DEFINE_int64(interval_ms, 1000, "with top: time between its two readings");

using namespace marjorambend;

int main(int Count, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  for (int Index = 1; Index < Count; ++Index) {
    if (std::string_view(Arguments[Index]) == "--help") {
      std::cout << commandHelp();
      return ExitDone;
    }
  }
  if (const char *Address = std::getenv("MARJORAMBENDCTL_INSTANCE"))
    FLAGS_instance = Address;
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (Count > 1 && std::string_view(Arguments[1]) == "explain")
    return runExplain({Arguments + 1, Arguments + Count}, FLAGS_json);
  if (Count > 1 && std::string_view(Arguments[1]) == "losses")
    return runLosses({Arguments + 1, Arguments + Count}, FLAGS_window_ms);
  const auto Instance = parseEndpoint(FLAGS_instance);
  if (!Instance) {
    std::cerr << "marjorambendctl: --instance must be IP:PORT\n";
    return ExitUsage;
  }
  const char *Secret = std::getenv("MARJORAMBEND_OPERATOR_SECRET");
  EventLoop Loop;
  OperatorClient Client(Loop, Secret == nullptr ? "" : Secret);
  if (Count > 1 && std::string_view(Arguments[1]) == "top")
    return runTop(Client, {Arguments + 1, Arguments + Count},
                  {FLAGS_interval_ms}, FLAGS_json);
  const CommandContext Context{.Client_ = Client,
                               .Instance_ = *Instance,
                               .IsJson_ = FLAGS_json,
                               .Wait_ = {FLAGS_wait_ms},
                               .Expect_ = FLAGS_expect};
  return runCommand(Context, {Arguments + 1, Arguments + Count});
}
