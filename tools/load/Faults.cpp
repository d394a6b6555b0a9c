#include "Faults.h"

#include <csignal>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

namespace marjorambend {

using Json = nlohmann::json;

static constexpr int64_t SlowMs = 500;

static tl::expected<Fault, FaultError> parseFault(const std::string &Text) {
  static const std::regex Pattern(
      R"(([a-z]+)(?::([^@]+))?@([0-9]+)(?:\+([0-9]+))?)");
  std::smatch Parts;
  if (!std::regex_match(Text, Parts, Pattern))
    return tl::unexpected(
        FaultError{"\"" + Text + "\" is not NAME[:TARGET]@START[+LENGTH]"});
  return Fault{.Name_ = Parts[1],
               .Target_ = Parts[2],
               .At_ = {std::stoll(Parts[3])},
               .Length_ = {Parts[4].matched ? std::stoll(Parts[4]) : 0}};
}

tl::expected<std::vector<Fault>, FaultError>
parseFaults(const std::string &Text) {
  std::vector<Fault> Faults;
  std::istringstream List(Text);
  std::string One;
  while (std::getline(List, One, ';')) {
    auto Parsed = parseFault(One);
    if (!Parsed)
      return tl::unexpected(Parsed.error());
    Faults.push_back(std::move(*Parsed));
  }
  return Faults;
}

FaultSchedule::FaultSchedule(EventLoop &Loop, HttpClient &Client,
                             FaultTargets Targets)
    : Loop_(Loop), Client_(Client), Targets_(std::move(Targets)) {}

void FaultSchedule::begin(const std::vector<Fault> &Faults) {
  for (const Fault &One : Faults) {
    Timers_.push_back(std::make_unique<Timer>(Loop_, One.At_, Timer::Mode::Once,
                                              [this, One] { start(One); }));
    if (One.Length_.Count_ > 0)
      Timers_.push_back(std::make_unique<Timer>(Loop_, One.At_ + One.Length_,
                                                Timer::Mode::Once,
                                                [this, One] { end(One); }));
  }
}

void FaultSchedule::signal(const Fault &Started, int Number) {
  const auto Found = Targets_.Processes_.find(Started.Target_);
  if (Found != Targets_.Processes_.end() && Found->second > 0)
    kill(Found->second, Number);
}

void FaultSchedule::sendFault(const Endpoint &To, const std::string &Body) {
  Client_.send(
      {.To_ = To, .Method_ = "POST", .Target_ = "/fault", .Body_ = Body},
      [](const HttpResult &) {});
}

// The target is PORT/INDEX=MODE.
void FaultSchedule::setBackend(const Fault &Started, bool IsOver) {
  const std::size_t Slash = Started.Target_.find('/');
  const std::size_t Equals = Started.Target_.find('=');
  if (Slash == std::string::npos || Equals == std::string::npos)
    return;
  const int Port = std::stoi(Started.Target_.substr(0, Slash));
  const int Index = std::stoi(Started.Target_.substr(Slash + 1));
  const std::string Mode = IsOver ? "none" : Started.Target_.substr(Equals + 1);
  sendFault({"127.0.0.1", static_cast<uint16_t>(Port)},
            Json{{"server", Index}, {"mode", Mode}}.dump());
}

void FaultSchedule::start(const Fault &Started) {
  const int64_t Length = Started.Length_.Count_;
  if (Started.Name_ == "kill")
    signal(Started, SIGKILL);
  if (Started.Name_ == "term")
    signal(Started, SIGTERM);
  if (Started.Name_ == "pause")
    signal(Started, SIGSTOP);
  if (Started.Name_ == "outage")
    sendFault(Targets_.Platform_, Json{{"silent_ms", Length}}.dump());
  if (Started.Name_ == "slow")
    sendFault(Targets_.Platform_, Json{{"slow_ms", SlowMs}}.dump());
  if (Started.Name_ == "lose")
    sendFault(Targets_.Platform_,
              Json{{"lose_answers", std::stoi(Started.Target_)}}.dump());
  if (Started.Name_ == "cut")
    sendFault(Targets_.Platform_,
              Json{{"cut", Started.Target_}, {"for_ms", Length}}.dump());
  if (Started.Name_ == "backend")
    setBackend(Started, false);
}

void FaultSchedule::end(const Fault &Ended) {
  if (Ended.Name_ == "pause")
    signal(Ended, SIGCONT);
  if (Ended.Name_ == "slow")
    sendFault(Targets_.Platform_, Json{{"slow_ms", 0}}.dump());
  if (Ended.Name_ == "backend")
    setBackend(Ended, true);
}

} // namespace marjorambend
