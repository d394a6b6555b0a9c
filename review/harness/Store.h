#ifndef MARJORAMBEND_REVIEW_STORE_H
#define MARJORAMBEND_REVIEW_STORE_H

#include <cstdint>
#include <map>
#include <marjorambend/Transport>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace marjorambend::review {

using Json = nlohmann::json;

/// \brief Stand-in of the platform's metadata store: rows in tables.
///
/// It keeps all rows in memory, answers a transaction after 4 ms and reads at
/// once, and holds back a feed until there is a change. Removed rows are kept
/// for the history of 20 s.
class Store {
public:
  Store(EventLoop &Loop, const Endpoint &At);

  bool listen() { return Server_.listen().has_value(); }

  /// \brief Writes a row as the operator or a worker does.
  void put(const std::string &Table, const std::string &Key, const Json &Value);
  /// \brief Removes a row.
  void drop(const std::string &Table, const std::string &Key);

  /// How calls are answered during a disruption.
  enum class Mode : uint8_t { Sound, Silent, Busy };
  Mode Mode_ = Mode::Sound;
  /// Share of the writes that are done 1 to 6 s later and not answered.
  double LateShare_ = 0;

private:
  struct Row {
    std::string Value_; ///< In base64.
    uint64_t Version_ = 0;
    bool IsDeleted_ = false;
    Milliseconds ChangedAt_;
  };
  struct Feed {
    uint64_t Token_ = 0;
    std::string Table_;
    uint64_t After_ = 0;
    Milliseconds Until_;
  };

  std::optional<HttpReply> receive(const HttpRequest &Request);
  HttpReply readRows(const HttpRequest &Request);
  std::optional<HttpReply> followRows(const HttpRequest &Request);
  HttpReply transact(const Json &Body);
  Json changesAfter(const std::string &Table, uint64_t After) const;
  HttpReply rowsReply(const Json &Rows, bool HasMore) const;
  void set(const std::string &Table, const std::string &Key, std::string Value,
           bool IsDeleted);
  void answerFeeds();
  void answerLater(uint64_t Token, HttpReply Reply, Milliseconds Delay);

  EventLoop &Loop_;
  HttpServer Server_;
  std::map<std::pair<std::string, std::string>, Row> Rows_;
  std::vector<std::unique_ptr<Timer>> Late_;
  uint64_t Version_ = 1;
  uint64_t OldestVersion_ = 0; ///< Earlier history is forgotten.
  std::vector<Feed> Feeds_;
  std::map<uint64_t, std::unique_ptr<Timer>> Waiting_;
  std::unique_ptr<Timer> Tick_;
};

} // namespace marjorambend::review

#endif // MARJORAMBEND_REVIEW_STORE_H
