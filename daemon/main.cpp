/// \file
/// \brief The daemon of an entry instance: settings, log, signals, loop.

#include "Daemon.h"
#include "FleetDaemon.h"

#include <csignal>
#include <iostream>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

using namespace marjorambend;

static constexpr int ExitCannotStart = 1;
static constexpr int ExitWrongSettings = 2;
// Must match deploy/system.toml.
static constexpr uint16_t MetricsPort = 9464;

static void setUpLog(const SettingsT &Settings) {
  spdlog::set_default_logger(spdlog::stderr_color_st("marjorambend"));
  if (Settings.log_format == "json")
    spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",)"
                        R"("instance":")" +
                        Settings.name + R"(","change":"%v"})");
  else
    spdlog::set_pattern("%Y-%m-%d %H:%M:%S.%e %l " + Settings.name + ": %v");
  spdlog::flush_on(spdlog::level::info);
}

static int run(const SettingsT &Settings) {
  setUpLog(Settings);
  signal(SIGPIPE, SIG_IGN);
  EventLoop Loop;
  Daemon Instance(Loop, Settings);
  const SignalWatch Terminate(Loop, SIGTERM, [&] { Instance.stop(); });
  const SignalWatch Interrupt(Loop, SIGINT, [&] { Instance.stop(); });
  if (const auto Started = Instance.start(); !Started) {
    spdlog::error("{}", Started.error().What_);
    return ExitCannotStart;
  }
  Loop.run();
  return Instance.exitCode();
}

// Path of the platform's settings file; with it, `marjorambend platform` runs
// on the users' platform.
static constexpr const char *SettingsFileVariable = "MARJORAMBEND_NODE_FILE";

static int reportProblems(const SettingsError &Error) {
  for (const std::string &Problem : Error.Problems_)
    std::cerr << "marjorambend: " << Problem << '\n';
  return ExitWrongSettings;
}

static int runOnPlatform(const std::string &Path, const SettingsT &Flags) {
  const auto Settings = platform::readSettingsFile(Path);
  if (!Settings) {
    std::cerr << "marjorambend: " << Settings.error().What_ << '\n';
    return ExitWrongSettings;
  }
  signal(SIGPIPE, SIG_IGN);
  EventLoop Loop;
  FleetDaemon Instance(
      Loop, *Settings,
      {.MetricsPort_ = MetricsPort,
       .Policy_ = Flags.admission_policy == "least_cost"
                      ? AdmissionPolicy::LeastCost
                      : AdmissionPolicy::LatestStart,
       .ChoosesEarliestEnd_ = Flags.worker_choice == "earliest_end"});
  const SignalWatch Terminate(Loop, SIGTERM, [&] { Instance.stop(); });
  const SignalWatch Interrupt(Loop, SIGINT, [&] { Instance.stop(); });
  const SignalWatch Hangup(Loop, SIGHUP, [&] { Instance.reload(Path); });
  if (const auto Started = Instance.start(); !Started) {
    std::cerr << "marjorambend: " << Started.error().What_ << '\n';
    return ExitCannotStart;
  }
  Loop.run();
  return 0;
}

int main(int Count, char **Arguments) {
  const char *File = std::getenv(SettingsFileVariable);
  if (File != nullptr && Count > 1 &&
      std::string_view(Arguments[1]) == "platform") {
    const auto Flags = readPlatformFlags(Count, Arguments,
                                         {"admission_policy", "worker_choice"});
    return Flags ? runOnPlatform(File, *Flags) : reportProblems(Flags.error());
  }
  const auto Line = readSettings(Count, Arguments);
  if (!Line)
    return reportProblems(Line.error());
  if (Line->IsHelp_) {
    std::cout << settingsHelp();
    return 0;
  }
  if (Line->IsCheck_) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  return run(Line->Settings_);
}
