/// \file
/// \brief Stand-in for the platform: table service, object store and list.
///
/// One process, in memory, over HTTP with JSON. Faults are set by
/// `POST /fault`: {"silent_ms":N} leaves requests unanswered for N ms,
/// {"slow_ms":N} delays answers, {"lose_answers":N} performs the next N writes
/// without answering, {"cut":"NAME","for_ms":N} ignores an instance or a data
/// centre for N ms.

#include <algorithm>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <marjorambend/Transport>
#include <nlohmann/json.hpp>
#include <xxhash.h>

DEFINE_string(address, "127.0.0.1", "IP number of the listener");
DEFINE_int32(port, 9000, "port of the listener");
DEFINE_int64(read_ms, 1, "time that a read takes");
DEFINE_int64(write_ms, 5, "time that a write takes");
DEFINE_int64(lag_ms, 2000, "time until a change shows in the list");
DEFINE_int64(forget_ms, 10000, "silence after which an instance is delisted");
DEFINE_string(workers, "", "file with the list of backend servers");

namespace marjorambend {
namespace {

using Json = nlohmann::json;

struct Row {
  uint64_t Version_ = 0;
  std::string Value_;
};

struct ListedInstance {
  Json Spec_;
  Milliseconds VisibleAt_;
  Milliseconds SeenAt_;
};

struct ListedWorker {
  Json Spec_;
  Json Next_; ///< Listed from ChangesAt_ on.
  Milliseconds ChangesAt_;
};

struct Faults {
  Milliseconds SilentUntil_;
  Milliseconds Slow_;
  uint64_t LoseAnswers_ = 0;
  std::map<std::string, Milliseconds> CutUntil_;
};

struct Stats {
  uint64_t Reads_ = 0;
  uint64_t Writes_ = 0;
  uint64_t RowsWritten_ = 0;
  uint64_t Lists_ = 0;
};

class Platform {
public:
  explicit Platform(EventLoop &Loop)
      : Loop_(Loop), Server_(
                         Loop,
                         {.Address_ = FLAGS_address,
                          .Port_ = static_cast<uint16_t>(FLAGS_port),
                          .MaxBodyBytes_ = 64U << 20U},
                         [this](HttpRequest &&Request) {
                           return receive(std::move(Request));
                         },
                         nullptr) {}

  bool start() {
    if (!FLAGS_workers.empty())
      loadWorkers();
    return Server_.listen().has_value();
  }

private:
  void loadWorkers() {
    std::ifstream File(FLAGS_workers);
    const Json List = Json::parse(File, nullptr, false);
    for (const Json &Spec : List)
      Workers_.push_back({.Spec_ = Spec, .Next_ = Spec});
  }

  bool isCut(const HttpRequest &Request) const {
    const Milliseconds Now = monotonicNow();
    for (const char *Field : {"Marjorambend-Instance", "Marjorambend-Centre"}) {
      const std::string Name(findHeader(Request.Headers_, Field));
      const auto Found = Faults_.CutUntil_.find(Name);
      if (Found != Faults_.CutUntil_.end() && Now < Found->second)
        return true;
    }
    return false;
  }

  std::optional<HttpReply> receive(HttpRequest &&Request) {
    if (Request.Path_ == "/fault")
      return setFault(Request);
    if (Request.Path_ == "/stats")
      return stats();
    if (monotonicNow() < Faults_.SilentUntil_ || isCut(Request))
      return std::nullopt;
    const bool IsWrite =
        Request.Path_.rfind("/table/", 0) == 0 && Request.Method_ == "POST";
    HttpReply Reply = serve(Request);
    if (IsWrite && Faults_.LoseAnswers_ > 0) {
      --Faults_.LoseAnswers_;
      return std::nullopt;
    }
    answerLater(Request.Token_, std::move(Reply),
                Milliseconds{IsWrite ? FLAGS_write_ms : FLAGS_read_ms} +
                    Faults_.Slow_);
    return std::nullopt;
  }

  void answerLater(uint64_t Token, HttpReply Reply, Milliseconds Delay) {
    auto Call = [this, Token, Reply = std::move(Reply)] {
      Server_.reply(Token, Reply);
      Waiting_.erase(Token);
    };
    Waiting_[Token] = std::make_unique<Timer>(Loop_, Delay, Timer::Mode::Once,
                                              std::move(Call));
  }

  HttpReply serve(const HttpRequest &Request) {
    if (Request.Path_ == "/table/row")
      return readRow(queryValue(Request.Query_, "key"),
                     queryValue(Request.Query_, "known"));
    const Json Body = Json::parse(Request.Body_, nullptr, false);
    if (Request.Path_.rfind("/object/", 0) == 0)
      return serveObject(Request);
    if (!Body.is_object())
      return jsonReply(400, "{}");
    if (Request.Path_ == "/table/insert")
      return insert(Body);
    if (Request.Path_ == "/table/swap")
      return swap(Body);
    if (Request.Path_ == "/table/delete")
      return deletePrefix(Body.value("prefix", std::string{}));
    if (Request.Path_ == "/list")
      return list(Body);
    if (Request.Path_ == "/leaving")
      return setLeaving(Body);
    return jsonReply(404, "{}");
  }

  HttpReply readRow(const std::string &Key, const std::string &Known) {
    ++Stats_.Reads_;
    const Row &Found = Rows_[Key];
    if (Known == std::to_string(Found.Version_))
      return jsonReply(200, Json{{"version", Found.Version_}}.dump());
    return jsonReply(
        200, Json{{"version", Found.Version_}, {"value", Found.Value_}}.dump());
  }

  HttpReply insert(const Json &Body) {
    ++Stats_.Writes_;
    Json Values = Json::array();
    for (const Json &Requested : Body["rows"]) {
      ++Stats_.RowsWritten_;
      Row &Entry = Rows_[Requested["key"].get<std::string>()];
      if (Entry.Version_ == 0) {
        Entry.Version_ = 1;
        Entry.Value_ = Requested["value"].get<std::string>();
      }
      Values.push_back(Entry.Value_);
    }
    return jsonReply(200, Json{{"values", Values}}.dump());
  }

  HttpReply swap(const Json &Body) {
    ++Stats_.Writes_;
    ++Stats_.RowsWritten_;
    Row &Entry = Rows_[Body["key"].get<std::string>()];
    if (Entry.Version_ == Body["expected_version"].get<uint64_t>()) {
      ++Entry.Version_;
      Entry.Value_ = Body["value"].get<std::string>();
    }
    return jsonReply(
        200, Json{{"version", Entry.Version_}, {"value", Entry.Value_}}.dump());
  }

  HttpReply deletePrefix(const std::string &Prefix) {
    ++Stats_.Writes_;
    if (!Prefix.empty())
      std::erase_if(Rows_, [&](const auto &Entry) {
        return Entry.first.rfind(Prefix, 0) == 0;
      });
    return jsonReply(200, "{}");
  }

  HttpReply serveObject(const HttpRequest &Request) {
    if (Request.Method_ == "PUT")
      Objects_[Request.Path_] = Request.Body_;
    const auto Found = Objects_.find(Request.Path_);
    if (Found == Objects_.end())
      return jsonReply(404, "{}");
    return {.Status_ = 200, .Body_ = Found->second};
  }

  HttpReply list(Json Announced) {
    ++Stats_.Lists_;
    const std::string Known = Announced.value("known", std::string{});
    Announced.erase("known");
    const Milliseconds Now = monotonicNow();
    const Milliseconds Lag{FLAGS_lag_ms};
    const std::string Name = Announced.value("name", std::string{});
    if (!Name.empty()) {
      ListedInstance &Entry = Instances_[Name];
      if (Entry.Spec_ != Announced)
        Entry.VisibleAt_ = Now + (Instances_.size() > 1 ? Lag : Milliseconds{});
      Entry.Spec_ = Announced;
      Entry.SeenAt_ = Now;
    }
    Json Instances = Json::array();
    for (const auto &[Key, Entry] : Instances_) {
      const bool IsGone = Now - Entry.SeenAt_ > Milliseconds{FLAGS_forget_ms};
      if (Now >= Entry.VisibleAt_ && !IsGone)
        Instances.push_back(Entry.Spec_);
    }
    Json Workers = Json::array();
    for (ListedWorker &Entry : Workers_) {
      if (Now >= Entry.ChangesAt_)
        Entry.Spec_ = Entry.Next_;
      Workers.push_back(Entry.Spec_);
    }
    Json Whole{{"instances", Instances}, {"workers", Workers}};
    const std::string Text = Whole.dump();
    const std::string Version =
        formatHex(XXH3_64bits(Text.data(), Text.size()));
    if (Known == Version)
      return jsonReply(200, Json{{"version", Version}}.dump());
    Whole["version"] = Version;
    return jsonReply(200, Whole.dump());
  }

  HttpReply setLeaving(const Json &Body) {
    for (ListedWorker &Entry : Workers_) {
      if (Entry.Spec_["name"] != Body.value("name", std::string{}))
        continue;
      Entry.Next_["leaving"] = Body.value("leaving", true);
      Entry.ChangesAt_ = monotonicNow() + Milliseconds{FLAGS_lag_ms};
    }
    return jsonReply(200, "{}");
  }

  HttpReply setFault(const HttpRequest &Request) {
    const Json Body = Json::parse(Request.Body_, nullptr, false);
    if (!Body.is_object())
      return jsonReply(400, "{}");
    const Milliseconds Now = monotonicNow();
    if (Body.contains("silent_ms"))
      Faults_.SilentUntil_ = Now + Milliseconds{Body["silent_ms"]};
    if (Body.contains("slow_ms"))
      Faults_.Slow_ = {Body["slow_ms"]};
    if (Body.contains("lose_answers"))
      Faults_.LoseAnswers_ = Body["lose_answers"];
    if (Body.contains("cut"))
      Faults_.CutUntil_[Body["cut"]] = Now + Milliseconds{Body["for_ms"]};
    return jsonReply(200, "{}");
  }

  HttpReply stats() const {
    return jsonReply(200, Json{{"reads", Stats_.Reads_},
                               {"writes", Stats_.Writes_},
                               {"rows_written", Stats_.RowsWritten_},
                               {"lists", Stats_.Lists_}}
                              .dump());
  }

  EventLoop &Loop_;
  HttpServer Server_;
  std::map<std::string, Row> Rows_;
  std::map<std::string, std::string> Objects_;
  std::map<std::string, ListedInstance> Instances_;
  std::vector<ListedWorker> Workers_;
  Faults Faults_;
  Stats Stats_;
  std::map<uint64_t, std::unique_ptr<Timer>> Waiting_;
};

} // namespace
} // namespace marjorambend

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  signal(SIGPIPE, SIG_IGN);
  marjorambend::EventLoop Loop;
  marjorambend::Platform Service(Loop);
  if (!Service.start()) {
    std::cerr << "platform: cannot listen\n";
    return 1;
  }
  const marjorambend::SignalWatch Terminate(Loop, SIGTERM,
                                            [&] { Loop.stop(); });
  Loop.run();
  return 0;
}
