#include "Store.h"

#include <algorithm>
#include <openssl/evp.h>
#include <random>

namespace marjorambend::review {

static constexpr Milliseconds TransactionTime{4};
static constexpr Milliseconds History{20'000};
static constexpr Milliseconds TickInterval{10};
static constexpr std::size_t MaxRows = 500;

static std::string encodeBase64(const std::string &Bytes) {
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

static uint64_t numberOf(const std::string &Text) {
  return Text.empty() ? 0 : std::stoull(Text);
}

static std::mt19937_64 &generator() {
  static std::mt19937_64 Generator(std::random_device{}());
  return Generator;
}

static bool isLate(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(generator()) < Share;
}

static Milliseconds randomLateness() {
  return {std::uniform_int_distribution<int64_t>(1'000, 6'000)(generator())};
}

Store::Store(EventLoop &Loop, const Endpoint &At)
    : Loop_(Loop),
      Server_(
          Loop, {.Address_ = At.Address_, .Port_ = At.Port_},
          [this](HttpRequest &&Request) { return receive(Request); },
          [this](uint64_t Token) {
            std::erase_if(Feeds_, [Token](const Feed &One) {
              return One.Token_ == Token;
            });
          }),
      Tick_(std::make_unique<Timer>(Loop, TickInterval, Timer::Mode::Repeat,
                                    [this] { answerFeeds(); })) {}

void Store::set(const std::string &Table, const std::string &Key,
                std::string Value, bool IsDeleted) {
  Rows_[{Table, Key}] = {std::move(Value), ++Version_, IsDeleted,
                         monotonicNow()};
}

void Store::put(const std::string &Table, const std::string &Key,
                const Json &Value) {
  set(Table, Key, encodeBase64(Value.dump()), false);
  answerFeeds();
}

void Store::drop(const std::string &Table, const std::string &Key) {
  if (!Rows_.contains({Table, Key}))
    return;
  set(Table, Key, {}, true);
  answerFeeds();
}

std::optional<HttpReply> Store::receive(const HttpRequest &Request) {
  if (Mode_ == Mode::Silent)
    return std::nullopt;
  if (Mode_ == Mode::Busy)
    return jsonReply(503, "{}");
  if (Request.Path_ == "/rows-get")
    return readRows(Request);
  if (Request.Path_ == "/rows-feed")
    return followRows(Request);
  if (Request.Path_ == "/rows-tx") {
    const Json Body = Json::parse(Request.Body_, nullptr, false);
    if (isLate(LateShare_)) {
      Late_.push_back(
          std::make_unique<Timer>(Loop_, randomLateness(), Timer::Mode::Once,
                                  [this, Body] { transact(Body); }));
      return std::nullopt;
    }
    answerLater(Request.Token_,
                Body.is_object() ? transact(Body) : jsonReply(400, "{}"),
                TransactionTime);
    return std::nullopt;
  }
  return jsonReply(404, "{}");
}

HttpReply Store::rowsReply(const Json &Rows, bool HasMore) const {
  return jsonReply(200, Json{{"rows", Rows},
                             {"schema_version", Version_},
                             {"now_ms", monotonicNow().Count_},
                             {"has_more", HasMore}}
                            .dump());
}

HttpReply Store::readRows(const HttpRequest &Request) {
  const std::string Table = queryValue(Request.Query_, "table");
  const std::string From = queryValue(Request.Query_, "from");
  Json Rows = Json::array();
  for (const auto &[Name, Row] : Rows_) {
    if (Name.first != Table || Name.second < From || Row.IsDeleted_)
      continue;
    if (Rows.size() == MaxRows)
      return rowsReply(Rows, true);
    Rows.push_back({{"table", Table},
                    {"part", ""},
                    {"key", Name.second},
                    {"value", Row.Value_},
                    {"schema_version", Row.Version_}});
  }
  return rowsReply(Rows, false);
}

Json Store::changesAfter(const std::string &Table, uint64_t After) const {
  std::map<uint64_t, Json> Changed;
  for (const auto &[Name, Row] : Rows_) {
    if (Name.first != Table || Row.Version_ <= After)
      continue;
    Json One{{"table", Table},
             {"part", ""},
             {"key", Name.second},
             {"schema_version", Row.Version_}};
    if (Row.IsDeleted_)
      One["deleted"] = true;
    else
      One["value"] = Row.Value_;
    Changed[Row.Version_] = std::move(One);
  }
  Json Rows = Json::array();
  for (auto &[Version, One] : Changed)
    Rows.push_back(std::move(One));
  return Rows;
}

std::optional<HttpReply> Store::followRows(const HttpRequest &Request) {
  const std::string Table = queryValue(Request.Query_, "table");
  const uint64_t After = numberOf(queryValue(Request.Query_, "after"));
  if (After < OldestVersion_)
    return jsonReply(410, "{}");
  const Json Rows = changesAfter(Table, After);
  const Milliseconds Wait{
      static_cast<int64_t>(numberOf(queryValue(Request.Query_, "wait_ms")))};
  if (!Rows.empty() || Wait.Count_ == 0)
    return rowsReply(Rows, false);
  Feeds_.push_back({Request.Token_, Table, After, monotonicNow() + Wait});
  return std::nullopt;
}

HttpReply Store::transact(const Json &Body) {
  const auto Entries = [&Body](const char *Name) {
    return Body.contains(Name) ? Body[Name] : Json::array();
  };
  for (const Json &One : Entries("expected_rev")) {
    const auto Found = Rows_.find({One["table"], One["key"]});
    const bool IsThere = Found != Rows_.end() && !Found->second.IsDeleted_;
    if (One["schema_version"] != (IsThere ? Found->second.Version_ : 0))
      return jsonReply(412, R"({"rows":[]})");
  }
  for (const Json &One : Entries("write"))
    set(One["table"], One["key"], One["value"], false);
  for (const Json &One : Entries("remove"))
    set(One["table"], One["key"], {}, true);
  answerFeeds();
  return jsonReply(
      200, Json{{"schema_version", Version_}, {"now_ms", monotonicNow().Count_}}
               .dump());
}

void Store::answerFeeds() {
  const Milliseconds Now = monotonicNow();
  for (const auto &[Name, Row] : Rows_) {
    if (Row.IsDeleted_ && Now - Row.ChangedAt_ > History)
      OldestVersion_ = std::max(OldestVersion_, Row.Version_);
  }
  std::erase_if(Rows_, [this](const auto &Entry) {
    return Entry.second.IsDeleted_ && Entry.second.Version_ <= OldestVersion_;
  });
  std::vector<std::pair<uint64_t, HttpReply>> Replies;
  std::erase_if(Feeds_, [&](const Feed &One) {
    const Json Rows = changesAfter(One.Table_, One.After_);
    if (Rows.empty() && Now < One.Until_)
      return false;
    Replies.emplace_back(One.Token_, rowsReply(Rows, false));
    return true;
  });
  for (const auto &[Token, Reply] : Replies)
    Server_.reply(Token, Reply);
}

void Store::answerLater(uint64_t Token, HttpReply Reply, Milliseconds Delay) {
  auto Call = [this, Token, Reply = std::move(Reply)] {
    Server_.reply(Token, Reply);
    Waiting_.erase(Token);
  };
  Waiting_[Token] =
      std::make_unique<Timer>(Loop_, Delay, Timer::Mode::Once, std::move(Call));
}

} // namespace marjorambend::review
