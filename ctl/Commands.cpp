#include "Commands.h"

#include "InstanceViews.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <marjorambend/Configuration>
#include <sstream>

namespace marjorambend {
namespace {

using Json = nlohmann::json;
using Arguments = std::vector<std::string>;

int fail(int Code, const std::string &What) {
  std::cerr << "marjorambendctl: " << What << '\n';
  return Code;
}

int fail(const OperatorFailure &Failure) {
  return fail(ExitUnreachable, Failure.What_);
}

tl::expected<std::string, std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return tl::unexpected("cannot read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// \brief A validated catalogue file.
struct CheckedFile {
  std::string Text_;
  Catalogue Catalogue_;
};

tl::expected<CheckedFile, int> checkFile(const std::string &Path) {
  auto Text = readFile(Path);
  if (!Text)
    return tl::unexpected(fail(ExitUsage, Text.error()));
  auto Parsed = parseCatalogue(*Text);
  if (Parsed)
    return CheckedFile{.Text_ = std::move(*Text),
                       .Catalogue_ = std::move(*Parsed)};
  for (const std::string &Problem : Parsed.error().Problems_)
    std::cerr << Path << ": " << Problem << '\n';
  return tl::unexpected(static_cast<int>(ExitRefused));
}

int show(const CommandContext &C, const Arguments &) {
  const auto Answer = C.Client_.call(C.Instance_, "GET", "/v1/catalogue");
  if (!Answer)
    return fail(Answer.error());
  if (C.IsJson_) {
    std::cout << Answer->Text_ << '\n';
    return ExitDone;
  }
  const auto Version = Answer->Body_.value("version", uint64_t{0});
  if (Version == 0)
    return fail(ExitRefused,
                "no catalogue is in force yet; apply one with --expect=0");
  std::cerr << "version " << Version << '\n';
  std::cout << Answer->Body_.value("text", std::string{}) << '\n';
  return ExitDone;
}

int validate(const CommandContext &C, const Arguments &Given) {
  const auto File = checkFile(Given[1]);
  if (!File)
    return File.error();
  if (C.IsJson_)
    std::cout << R"({"valid":true})" << '\n';
  else
    std::cout << Given[1] << " is valid: " << File->Catalogue_.Kinds_.size()
              << " kinds, " << File->Catalogue_.Teams_.size() << " teams\n";
  return ExitDone;
}

int diff(const CommandContext &C, const Arguments &Given) {
  const auto File = checkFile(Given[1]);
  if (!File)
    return File.error();
  const auto Answer = C.Client_.call(C.Instance_, "GET", "/v1/catalogue");
  if (!Answer)
    return fail(Answer.error());
  const auto Before =
      parseCatalogue(Answer->Body_.value("text", std::string{}));
  const auto Lines =
      diffCatalogues(Before ? *Before : Catalogue{}, File->Catalogue_);
  if (C.IsJson_) {
    std::cout << Json{{"changes", Lines}}.dump() << '\n';
    return ExitDone;
  }
  for (const std::string &Line : Lines)
    std::cout << Line << '\n';
  if (Lines.empty())
    std::cout << "no differences\n";
  return ExitDone;
}

int instances(const CommandContext &C, const Arguments &) {
  const auto Views = viewInstances(C);
  if (!Views)
    return fail(Views.error());
  if (C.IsJson_)
    std::cout << Json{{"instances", toJson(*Views)}}.dump() << '\n';
  else
    printInstances(*Views);
  return ExitDone;
}

int awaitVersion(const CommandContext &C, uint64_t Version) {
  const auto Reached = awaitPropagation(
      C, [&](const InstanceView &View) { return versionOf(View) >= Version; });
  if (!Reached)
    return fail(Reached.error());
  return reportPropagation(
      C, *Reached, "version " + std::to_string(Version) + " is accepted",
      {{"accepted", true}, {"version", Version}});
}

int apply(const CommandContext &C, const Arguments &Given) {
  const auto File = checkFile(Given[1]);
  if (!File)
    return File.error();
  uint64_t Expected = static_cast<uint64_t>(C.Expect_);
  if (C.Expect_ < 0) {
    const auto Before = C.Client_.call(C.Instance_, "GET", "/v1/catalogue");
    if (!Before)
      return fail(Before.error());
    Expected = Before->Body_.value("version", uint64_t{0});
  }
  const auto Answer = C.Client_.call(
      C.Instance_, "PUT", "/v1/catalogue?expect=" + std::to_string(Expected),
      File->Text_);
  if (!Answer)
    return fail(Answer.error());
  if (Answer->Body_.value("accepted", false))
    return awaitVersion(C, Answer->Body_.value("version", uint64_t{0}));
  if (C.IsJson_)
    std::cout << Answer->Text_ << '\n';
  for (const Json &Problem : Answer->Body_.value("problems", Json::array()))
    std::cerr << "marjorambendctl: " << Problem.get<std::string>() << '\n';
  return ExitRefused;
}

int setDrain(const CommandContext &C, const std::string &Target,
             bool IsDrained) {
  const Json Body{{"target", Target}, {"drained", IsDrained}};
  const auto Answer =
      C.Client_.call(C.Instance_, "POST", "/v1/drains", Body.dump());
  if (!Answer)
    return fail(Answer.error());
  if (Answer->Status_ != 200)
    return fail(ExitUsage, Answer->Body_.value("message", std::string{}));
  const auto Order = Answer->Body_.value("fingerprint", std::string{});
  const auto Reached = awaitPropagation(C, [&](const InstanceView &View) {
    return View.IsReached_ &&
           View.Status_.value("drain_fingerprint", std::string{}) == Order;
  });
  if (!Reached)
    return fail(Reached.error());
  return reportPropagation(
      C, *Reached, Target + (IsDrained ? " is drained" : " is not drained"),
      {{"target", Target}, {"drained", IsDrained}});
}

int drain(const CommandContext &C, const Arguments &Given) {
  return setDrain(C, Given[1], true);
}

int undrain(const CommandContext &C, const Arguments &Given) {
  return setDrain(C, Given[1], false);
}

int drains(const CommandContext &C, const Arguments &) {
  const auto Answer = C.Client_.call(C.Instance_, "GET", "/v1/drains");
  if (!Answer)
    return fail(Answer.error());
  if (C.IsJson_) {
    std::cout << Answer->Text_ << '\n';
    return ExitDone;
  }
  for (const Json &Target : Answer->Body_.value("drained", Json::array()))
    std::cout << Target.get<std::string>() << '\n';
  return ExitDone;
}

int stop(const CommandContext &C, const Arguments &Given) {
  const auto Views = viewInstances(C);
  if (!Views)
    return fail(Views.error());
  for (const InstanceView &View : *Views) {
    if (View.Name_ != Given[1])
      continue;
    const auto Answer = C.Client_.call(View.Operators_, "POST", "/v1/stop");
    if (!Answer)
      return fail(Answer.error());
    std::cout << (C.IsJson_ ? Answer->Text_ : Given[1] + " is stopping")
              << '\n';
    return ExitDone;
  }
  return fail(ExitRefused, "no instance \"" + Given[1] +
                               "\" is listed; see marjorambendctl instances");
}

// Asks every listed instance because the holder of the job is unknown.
int job(const CommandContext &C, const Arguments &Given) {
  const auto Views = viewInstances(C);
  if (!Views)
    return fail(Views.error());
  bool IsKnown = false;
  for (const InstanceView &View : *Views) {
    const auto Answer =
        C.Client_.call(View.Operators_, "GET", "/v1/jobs/" + Given[1]);
    if (!Answer || Answer->Status_ != 200)
      continue;
    IsKnown = true;
    Json Body = Answer->Body_;
    Body["instance"] = View.Name_;
    std::cout << Body.dump(C.IsJson_ ? -1 : 2) << '\n';
  }
  if (IsKnown)
    return ExitDone;
  return fail(ExitRefused,
              "no instance that was reached has a record of " + Given[1]);
}

int counters(const CommandContext &C, const Arguments &) {
  const auto Answer = C.Client_.call(C.Instance_, "GET", "/metrics");
  if (!Answer)
    return fail(Answer.error());
  Json All;
  std::istringstream Lines(Answer->Text_);
  std::string Line;
  while (std::getline(Lines, Line)) {
    const std::size_t Space = Line.find(' ');
    if (Line.empty() || Line[0] == '#' || Space == std::string::npos)
      continue;
    All[Line.substr(0, Space)] = std::stoull(Line.substr(Space + 1));
    if (!C.IsJson_)
      std::cout << Line << '\n';
  }
  if (C.IsJson_)
    std::cout << All.dump() << '\n';
  return ExitDone;
}

int waitReady(const CommandContext &C, const Arguments &Given) {
  const std::size_t Wanted = std::stoul(Given[1]);
  const Milliseconds End = monotonicNow() + C.Wait_;
  while (monotonicNow() < End) {
    const auto Views = viewInstances(C);
    std::size_t Ready = 0;
    if (Views) {
      for (const InstanceView &View : *Views)
        Ready += View.IsReached_ && View.Status_.value("ready", false) ? 1 : 0;
    }
    if (Ready >= Wanted)
      return ExitDone;
    C.Client_.pause(PollInterval);
  }
  return fail(ExitNotEverywhere,
              "fewer than " + Given[1] + " instances are ready");
}

/// \brief A command of the table below.
struct Command {
  const char *Name_;
  std::size_t Arguments_;
  int (*Run_)(const CommandContext &, const Arguments &);
  const char *Form_;
  const char *Help_;
};

constexpr Command Commands[] = {
    {"show", 0, show, "show", "print the catalogue in force"},
    {"validate", 1, validate, "validate FILE",
     "validate a catalogue and report all problems"},
    {"diff", 1, diff, "diff FILE", "compare a catalogue with the one in force"},
    {"apply", 1, apply, "apply FILE",
     "submit a catalogue and wait until it is in force everywhere"},
    {"drain", 1, drain, "drain worker/NAME | data-centre/NAME",
     "stop sending work to a backend server or a data centre"},
    {"undrain", 1, undrain, "undrain worker/NAME | data-centre/NAME",
     "end a drain"},
    {"drains", 0, drains, "drains", "list what is drained"},
    {"instances", 0, instances, "instances",
     "list instances with the version that each has in force"},
    {"stop", 1, stop, "stop INSTANCE", "stop an instance gracefully"},
    {"job", 1, job, "job ID", "print what the instances know of a job"},
    {"counters", 0, counters, "counters", "print the counters of an instance"},
    {"wait-ready", 1, waitReady, "wait-ready N",
     "wait until N instances are ready"}};

} // namespace

std::string commandHelp() {
  std::ostringstream Text;
  Text << "marjorambendctl - for operators of marjorambend\n\n"
          "Usage: marjorambendctl [--instance=IP:PORT] [--json] COMMAND\n\n";
  for (const Command &One : Commands)
    Text << "  " << std::left << std::setw(42) << One.Form_ << One.Help_
         << '\n';
  Text << "  " << std::left << std::setw(42) << "explain JOB [FILE...]"
       << "print a job's log lines and the cause of its outcome\n";
  Text << "  " << std::left << std::setw(42) << "losses [FILE...]"
       << "count jobs that were not served in time, by reason\n";
  Text << "  " << std::left << std::setw(42) << "top IP:PORT..."
       << "print a summary of the metrics of instances\n";
  Text
      << "\n"
         "  --instance=IP:PORT  operators' listener of any instance; also\n"
         "                      MARJORAMBENDCTL_INSTANCE (127.0.0.1:8081)\n"
         "  --expect=N          with apply: the version that you edited\n"
         "  --interval_ms=N     with top: time between its two readings "
         "(1000)\n"
         "  --window_ms=N       with losses: length of a window of time "
         "(2000)\n"
         "  --wait_ms=N         how long apply and wait-ready wait (9000)\n"
         "  --json              print JSON for scripts\n\n"
         "The operators' secret is taken from MARJORAMBEND_OPERATOR_SECRET.\n\n"
         "To edit the catalogue: show it into a file, edit the file, validate\n"
         "and diff it, then apply it with --expect set to the version shown.\n"
         "If another operator has applied a newer version meanwhile, the\n"
         "command is refused and nothing is overwritten.\n\n"
         "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no instance\n"
         "reached or wrong secret, 4 not everywhere in time.\n";
  return Text.str();
}

int runCommand(const CommandContext &Context, const Arguments &Given) {
  if (Given.empty())
    return fail(ExitUsage, "a command is required; see --help");
  for (const Command &One : Commands) {
    if (Given[0] != One.Name_)
      continue;
    if (Given.size() != One.Arguments_ + 1)
      return fail(ExitUsage, std::string("use: marjorambendctl ") + One.Form_);
    return One.Run_(Context, Given);
  }
  return fail(ExitUsage,
              "there is no command \"" + Given[0] + "\"; see --help");
}

} // namespace marjorambend
