#include "Store.h"

#include <algorithm>

namespace review {

// A transaction takes `tx_ms`.
static constexpr int64_t AnswerMs = 4;
static constexpr std::size_t PageRows = 500;

static std::string encodeBase64(const std::string &Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8U | (At + Index < Bytes.size()
                                 ? static_cast<unsigned char>(Bytes[At + Index])
                                 : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text.push_back(At + Index > Bytes.size()
                         ? '='
                         : Digits[Group >> (18 - 6 * Index) & 63U]);
  }
  return Text;
}

Store::Store(const std::string &Ip, uint16_t Port)
    : Server_(std::make_unique<Server>(
          Ip, Port, [this](const Request &Asked) { return handle(Asked); })) {}

void Store::put(const std::string &Table, const std::string &Key,
                const Json &Value) {
  const std::lock_guard Guard(Lock_);
  Tables_[Table][Key] = {encodeBase64(Value.dump()), ++Version_, false};
  HasChanged_.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  const std::lock_guard Guard(Lock_);
  Tables_[Table][Key] = {"", ++Version_, true};
  HasChanged_.notify_all();
}

bool Store::hasRow(const std::string &Key) {
  const std::lock_guard Guard(Lock_);
  return std::any_of(Tables_.begin(), Tables_.end(), [&Key](const auto &One) {
    const auto Found = One.second.find(Key);
    return Found != One.second.end() && !Found->second.IsDeleted_;
  });
}

Response Store::handle(const Request &Asked) {
  if (Asked.Path_ == "/rows-feed")
    return rowsFeed(Asked);
  sleepMs(AnswerMs);
  if (Asked.Path_ == "/rows-get")
    return rowsGet(Asked);
  if (Asked.Path_ == "/rows-tx")
    return transact(Json::parse(Asked.Body_));
  return {.Status_ = 400};
}

Json Store::answer() const {
  return {{"rows", Json::array()},
          {"schema_version", Version_},
          {"now_ms", nowMs() + 1'000'000},
          {"has_more", false}};
}

Response Store::transact(const Json &Body) {
  const std::lock_guard Guard(Lock_);
  for (const Json &One : Body.value("write", Json::array())) {
    if (One["table"] == "op" || One["table"] == "servers")
      return {.Status_ = 403};
  }
  ++Version_;
  for (const Json &One : Body.value("write", Json::array()))
    Tables_[One["table"]][One["key"]] = {One["value"], Version_, false};
  for (const Json &One : Body.value("remove", Json::array()))
    Tables_[One["table"]][One["key"]] = {"", Version_, true};
  HasChanged_.notify_all();
  return {.Body_ = answer().dump()};
}

Response Store::rowsGet(const Request &Asked) {
  const std::lock_guard Guard(Lock_);
  Json Reply = answer();
  const auto From = Asked.Query_.find("from");
  for (const auto &[Key, One] : Tables_[Asked.Query_.at("table")]) {
    if (One.IsDeleted_ || (From != Asked.Query_.end() && Key < From->second))
      continue;
    if (Reply["rows"].size() == PageRows) {
      Reply["has_more"] = true;
      break;
    }
    Reply["rows"].push_back({{"key", Key},
                             {"value", One.Value_},
                             {"schema_version", One.Version_}});
  }
  return {.Body_ = Reply.dump()};
}

Response Store::rowsFeed(const Request &Asked) {
  const uint64_t After = std::stoull(Asked.Query_.at("after"));
  const int64_t Wait = std::stoll(Asked.Query_.at("wait_ms"));
  sleepMs(AnswerMs);
  std::unique_lock Guard(Lock_);
  const auto &Rows = Tables_[Asked.Query_.at("table")];
  const auto HasNews = [&] {
    for (const auto &[Key, One] : Rows) {
      if (One.Version_ > After)
        return true;
    }
    return false;
  };
  HasChanged_.wait_for(Guard, std::chrono::milliseconds(Wait), HasNews);
  std::map<uint64_t, Json> Changed;
  for (const auto &[Key, One] : Rows) {
    if (One.Version_ <= After)
      continue;
    Json Row{{"key", Key}, {"schema_version", One.Version_}};
    if (One.IsDeleted_)
      Row["deleted"] = true;
    else
      Row["value"] = One.Value_;
    Changed[One.Version_ << 16U | Changed.size()] = std::move(Row);
  }
  Json Reply = answer();
  for (auto &[Order, Row] : Changed)
    Reply["rows"].push_back(std::move(Row));
  return {.Body_ = Reply.dump()};
}

} // namespace review
